/*
 * A call that is placed by the coordinator of its pool: node/cluster, placement.go at the
 * asker's side and coordinate.go at the coordinator's.
 *
 * One call with one attempt, its asker, two coordinators of which the second is asked when
 * the first did not answer, and one target that may leave. Messages between daemons are
 * lost, or come late and in any order. The asker repeats a question that waits, decides
 * alone when nobody answered in time, sends the call, and tells whoever it asked of the
 * end. Coordinators count the call at the target from their placement to its end.
 *
 * Advice is never what a rule rests on: the call is sent at most once, and not to a target
 * that the asker itself knows to leave. And in the end no coordinator counts a call that
 * is over.
 *
 * Not in the model: what is advised, and the queue in which questions wait.
 *
 * Switches that remove a rule:
 *   NO_FORGET  an answer that comes after the asker went on by itself is dropped
 *   NO_CHECK   a placement is checked against the asker's own list of targets
 *   NO_SAME    a question that is repeated gets the same answer and counts once
 *   NO_EXPIRY  what is counted runs out after the call's deadline
 */

#define COORDINATORS 2
#define QUESTIONS 3  /* how often the asker asks, repeats included */
#define WIRE 3       /* messages under way from one daemon to another */

mtype = { QUESTION, END };
mtype = { ASKING, ALONE, SENT, OVER };

chan toCoordinator[COORDINATORS] = [WIRE] of { mtype };
chan toAsker[COORDINATORS] = [WIRE] of { bool };

mtype asker = ASKING;
byte asks = 0;           /* the coordinator that is asked now */
byte counted[COORDINATORS];
byte sends = 0;
bool leaves = false;     /* the asker knows that the target leaves */

inline tell(c, news) {
	if
	:: nfull(toCoordinator[c]) -> toCoordinator[c] ! news
	:: true -> skip      /* it is lost */
	fi
}

inline send() {
	sends++;
	assert(sends <= 1);
	asker = SENT
}

proctype Asker() {
	byte questions = 0, c;
	do
	:: atomic { asker == ASKING && questions < QUESTIONS -> questions++; tell(asks, QUESTION) }
	:: atomic { asker == ASKING && asks == 0 && questions > 0 -> tell(asks, END); asks = 1 }
	:: atomic { asker == ASKING && asks == 1 && questions > 0 -> tell(asks, END); asker = ALONE }
	:: atomic { asker == ASKING && toAsker[asks] ?? [true] ->
		toAsker[asks] ?? true;
		if
#ifndef NO_CHECK
		:: leaves -> tell(asks, END); asker = ALONE
		:: !leaves -> send()
#else
		:: true -> assert(!leaves); send()
#endif
		fi }
#ifdef NO_FORGET
	:: atomic { asker != ASKING && toAsker[0] ?? [true] -> toAsker[0] ?? true; send() }
#endif
	:: atomic { asker == ALONE -> send() }   /* it finds another target itself */
	:: atomic { !leaves -> leaves = true }
	:: atomic { asker == SENT -> tell(0, END); tell(1, END); asker = OVER; break }
	od
}

proctype Coordinator(byte me) {
	do
	:: atomic { toCoordinator[me] ?? [QUESTION] -> toCoordinator[me] ?? QUESTION;
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
		:: nfull(toAsker[me]) -> toAsker[me] ! true
		:: true -> skip
		fi }
	:: atomic { toCoordinator[me] ?? [END] -> toCoordinator[me] ?? END; counted[me] = 0 }
#ifndef NO_EXPIRY
	:: atomic { asker == OVER && counted[me] > 0 && empty(toCoordinator[me]) -> counted[me] = 0 }
#endif
	/* A coordinator that counts on for ever does not come to its end: a deadlock. */
	:: atomic { asker == OVER && empty(toCoordinator[me]) && counted[me] == 0 -> break }
	od
}

init {
	atomic {
		run Asker();
		run Coordinator(0);
		run Coordinator(1)
	}
}
