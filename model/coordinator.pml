/*
 * Placement of a call by the coordinator of its pool: node/cluster, placement.go for the
 * requester and coordinate.go for the coordinator.
 *
 * The model has one call with one attempt, its requester, two coordinators of which the
 * second is asked if the first did not answer, and one target that may leave. Messages
 * between daemons may be lost, delayed and reordered. The requester repeats a pending
 * request, decides without a coordinator if no answer came in time, sends the call, and
 * reports its end to every coordinator that it asked. A coordinator counts the call at the
 * target from its placement to its end.
 *
 * Safety never depends on a placement: the call is sent at most once, and not to a target
 * that the requester itself knows to be leaving. Eventually no coordinator counts a call
 * that has ended.
 *
 * Not in the model: which target is chosen, and the queue in which requests wait.
 *
 * Switches, each with the rule that it removes:
 *   NO_FORGET  an answer that arrives after the requester went on without it is dropped
 *   NO_CHECK   a placement is checked against the requester's own list of targets
 *   NO_SAME    a repeated request gets the same answer and is counted once
 *   NO_EXPIRY  a counted call expires after its deadline
 */

#define COORDINATORS 2
#define MAX_REQUESTS 3  /* requests that the requester sends, repeats included */
#define MAX_IN_FLIGHT 3 /* messages in flight from one daemon to another */

mtype = { REQUEST, END };
mtype = { WAITING, UNCOORDINATED, SENT, DONE };

chan toCoordinator[COORDINATORS] = [MAX_IN_FLIGHT] of { mtype };
chan toRequester[COORDINATORS] = [MAX_IN_FLIGHT] of { bool };

mtype requesterState = WAITING;
byte asked = 0; /* the coordinator that is asked now */
byte counted[COORDINATORS];
byte sends = 0;
bool targetLeaving = false; /* the requester knows that the target is leaving */

inline transmit(c, message) {
	if
	:: nfull(toCoordinator[c]) -> toCoordinator[c] ! message
	:: true -> skip      /* the message is lost */
	fi
}

inline send() {
	sends++;
	assert(sends <= 1);
	requesterState = SENT
}

proctype Requester() {
	byte requests = 0, c;
	do
	:: atomic { requesterState == WAITING && requests < MAX_REQUESTS -> requests++; transmit(asked, REQUEST) }
	:: atomic { requesterState == WAITING && asked == 0 && requests > 0 -> transmit(asked, END); asked = 1 }
	:: atomic { requesterState == WAITING && asked == 1 && requests > 0 -> transmit(asked, END); requesterState = UNCOORDINATED }
	:: atomic { requesterState == WAITING && toRequester[asked] ?? [true] ->
		toRequester[asked] ?? true;
		if
#ifndef NO_CHECK
		:: targetLeaving -> transmit(asked, END); requesterState = UNCOORDINATED
		:: !targetLeaving -> send()
#else
		:: true -> assert(!targetLeaving); send()
#endif
		fi }
#ifdef NO_FORGET
	:: atomic { requesterState != WAITING && toRequester[0] ?? [true] -> toRequester[0] ?? true; send() }
#endif
	:: atomic { requesterState == UNCOORDINATED -> send() }   /* the requester chooses another target itself */
	:: atomic { !targetLeaving -> targetLeaving = true }
	:: atomic { requesterState == SENT -> transmit(0, END); transmit(1, END); requesterState = DONE; break }
	od
}

proctype Coordinator(byte me) {
	do
	:: atomic { toCoordinator[me] ?? [REQUEST] -> toCoordinator[me] ?? REQUEST;
		if
#ifndef NO_SAME
		:: counted[me] > 0
#endif
		:: counted[me] == 0 -> counted[me]++
#ifdef NO_SAME
		:: counted[me] > 0 -> counted[me]++
#endif
		fi;
		assert(counted[me] <= 1);
		if
		:: nfull(toRequester[me]) -> toRequester[me] ! true
		:: true -> skip
		fi }
	:: atomic { toCoordinator[me] ?? [END] -> toCoordinator[me] ?? END; counted[me] = 0 }
#ifndef NO_EXPIRY
	:: atomic { requesterState == DONE && counted[me] > 0 && empty(toCoordinator[me]) -> counted[me] = 0 }
#endif
	/* A coordinator that never stops counting the call does not terminate: a deadlock. */
	:: atomic { requesterState == DONE && empty(toCoordinator[me]) && counted[me] == 0 -> break }
	od
}

init {
	atomic {
		run Requester();
		run Coordinator(0);
		run Coordinator(1)
	}
}
