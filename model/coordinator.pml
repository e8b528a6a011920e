/*
 * Placement of a call by the coordinator of its pool: node/cluster, placement.go for the
 * requester and coordinate.go for the coordinator.
 *
 * The model has one call with one attempt, its requester, two coordinators and one target
 * that may leave. The requester asks the second coordinator if the first did not answer,
 * or at once if it knows the first to be late; an answer or a ping shows that the first
 * answers again. The second hears the first or not, and redirects a request to
 * a coordinator that it hears unless the request insists. Messages between daemons
 * may be lost, delayed and reordered. The requester repeats a pending request, decides
 * without a coordinator if no answer came in time, sends the call, and reports its end to
 * every coordinator that it asked. A coordinator counts the call at the target from its
 * placement to its end.
 *
 * Safety never depends on a placement: the call is sent at most once, and not to a target
 * that the requester itself knows to be leaving. A call is redirected at most once, and is not
 * sent back to a daemon that was found late. Eventually no coordinator counts a call that
 * has ended.
 *
 * Not in the model: which target is chosen, and the queue in which requests wait.
 *
 * Switches, each with the rule that it removes:
 *   NO_FORGET  an answer that arrives after the requester went on without it is dropped
 *   NO_CHECK   a placement is checked against the requester's own list of targets
 *   NO_SAME    a repeated request gets the same answer and is counted once
 *   NO_EXPIRY  a counted call expires after its deadline
 *   NO_ONCE    a request after a redirect insists, so that the second redirect is impossible
 *   NO_INSIST  a call that is redirected to a daemon just found late stays at the second
 *   NO_HEARD   a late daemon is asked again only after something has arrived from it
 */

#define COORDINATORS 2
#define MAX_REQUESTS 3  /* requests that the requester sends, repeats included */
#define MAX_IN_FLIGHT 3 /* messages in flight from one daemon to another */

mtype = { REQUEST, INSIST, END, PLACED, REDIRECT };
mtype = { WAITING, UNCOORDINATED, SENT, DONE };

chan toCoordinator[COORDINATORS] = [MAX_IN_FLIGHT] of { mtype };
chan toRequester[COORDINATORS] = [MAX_IN_FLIGHT] of { mtype };

mtype requesterState = WAITING;
byte asked = 0; /* the coordinator that is asked now */
byte counted[COORDINATORS];
byte sends = 0;
bool targetLeaving = false; /* the requester knows that the target is leaving */
bool cut = false;           /* nothing passes between the requester and the first coordinator */
bool late = false;          /* the first coordinator did not answer this call or an earlier one in time */
bool heard = false;         /* something has arrived from the first coordinator since */
byte timeouts = 0;          /* requests that the first coordinator did not answer in time */
byte redirects = 0;
bool insist = false;        /* the next request insists on a placement */

inline transmit(c, message) {
	if
	:: nfull(toCoordinator[c]) && !(cut && c == 0) -> toCoordinator[c] ! message
	:: true -> skip      /* the message is lost */
	fi
}

inline send() {
	sends++;
	assert(sends <= 1);
	requesterState = SENT
}

inline timedOut() {
	timeouts++;
	/* No more than one request waits for a daemon that cannot answer. */
	assert(!cut || timeouts <= 1);
	late = true;
	heard = false
}

proctype Requester() {
	byte requests = 0;
	bool out = false; /* a request to the asked coordinator is out */
	/* An earlier call may have found the first coordinator late. */
	if
	:: true -> skip
	:: true -> atomic { timedOut() }
	fi;
	if
	:: atomic { late && !cut -> heard = true }
	:: true -> skip
	fi;
#ifndef NO_HEARD
	if
	:: late && !heard -> asked = 1
	:: else -> skip
	fi;
#endif
	do
	:: atomic { requesterState == WAITING && requests < MAX_REQUESTS -> requests++; out = true;
		if
		:: insist -> transmit(asked, INSIST)
		:: else -> transmit(asked, REQUEST)
		fi }
	:: atomic { requesterState == WAITING && asked == 0 && out -> transmit(asked, END); timedOut(); asked = 1; out = false }
	:: atomic { requesterState == WAITING && asked == 1 && out -> transmit(asked, END); requesterState = UNCOORDINATED }
	:: atomic { requesterState == WAITING && !out && requests == MAX_REQUESTS -> requesterState = UNCOORDINATED }
	:: atomic { requesterState == WAITING && out && toRequester[asked] ?? [PLACED] ->
		toRequester[asked] ?? PLACED;
		if
#ifndef NO_CHECK
		:: targetLeaving -> transmit(asked, END); requesterState = UNCOORDINATED
		:: !targetLeaving -> send()
#else
		:: true -> assert(!targetLeaving); send()
#endif
		fi }
	:: atomic { requesterState == WAITING && out && !insist && toRequester[asked] ?? [REDIRECT] ->
		toRequester[asked] ?? REDIRECT;
		redirects++;
		assert(redirects <= 1);
#ifndef NO_ONCE
		insist = true;
#endif
		out = false;
		if
#ifndef NO_INSIST
		:: asked == 1 && late && !heard -> skip /* asks the second again */
		:: else -> asked = 1 - asked
#else
		:: true -> asked = 1 - asked
#endif
		fi }
	/* An answer to an earlier request, which is known by its number. */
	:: atomic { insist && toRequester[asked] ?? [REDIRECT] -> toRequester[asked] ?? REDIRECT }
#ifdef NO_FORGET
	:: atomic { requesterState != WAITING && toRequester[0] ?? [PLACED] -> toRequester[0] ?? PLACED; send() }
#endif
	:: atomic { requesterState == UNCOORDINATED -> send() }   /* the requester chooses another target itself */
	:: atomic { !targetLeaving -> targetLeaving = true }
	:: atomic { requesterState == SENT -> transmit(0, END); transmit(1, END); requesterState = DONE; break }
	od
}

inline answer(me, message) {
	if
	:: nfull(toRequester[me]) && !(cut && me == 0) -> toRequester[me] ! message
	:: true -> skip      /* the message is lost */
	fi
}

inline place(me) {
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
	answer(me, PLACED)
}

proctype Coordinator(byte me) {
	do
	:: atomic { toCoordinator[me] ?? [REQUEST] -> toCoordinator[me] ?? REQUEST; place(me) }
	/* It hears a daemon that its own ranking has before it. Rankings may differ: each may name the other. */
	:: atomic { toCoordinator[me] ?? [REQUEST] && counted[me] == 0 -> toCoordinator[me] ?? REQUEST; answer(me, REDIRECT) }
	:: atomic { toCoordinator[me] ?? [INSIST] -> toCoordinator[me] ?? INSIST; place(me) }
	:: atomic { toCoordinator[me] ?? [END] -> toCoordinator[me] ?? END; counted[me] = 0 }
#ifndef NO_EXPIRY
	:: atomic { requesterState == DONE && counted[me] > 0 && empty(toCoordinator[me]) -> counted[me] = 0 }
#endif
	/* A coordinator that never stops counting the call does not terminate: a deadlock. */
	:: atomic { requesterState == DONE && empty(toCoordinator[me]) && counted[me] == 0 -> break }
	od
}

init {
	if
	:: true -> skip
	:: true -> cut = true
	fi;
	atomic {
		run Requester();
		run Coordinator(0);
		run Coordinator(1)
	}
}
