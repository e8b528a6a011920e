/*
 * At most once without a store: the claim protocol of core/claim.
 *
 * One key, two claimers, hosts 0..3 that are witnesses. The host list changes
 * once, from {0,1,2} to {1,2,3}; majorities of the two need not meet: {0,1} and
 * {2,3}. Messages may be lost (a claimer skips a witness), delayed, and answered
 * in any order (each grant is a step of its own). Witnesses restart and forget,
 * twice at most. The key's time may run out, after which all have forgotten it.
 * Claimers may stand still anywhere.
 *
 * docs/design/claims.md maps each step to its function in Go.
 *
 * Rules, each with a switch that removes it (spin -DNO_...):
 *   NO_BASE     a claim needs a majority in every list since the key's birth
 *   NO_MAJORITY a claim needs a majority
 *   NO_ONCE     a witness grants a key to one attempt only
 *   NO_YOUNG    a restarted witness does not grant keys older than itself
 *   NO_PERMIT   a permit has ended before witnesses forget the key
 *   NO_FINAL    a claimer that gave up never sends
 *
 * ONE runs one claimer without faults, which must send: progress.
 */

#define HOSTS 4
#ifdef ONE
#define CLAIMERS 1
#else
#define CLAIMERS 2
#endif

#define IN(l, w) ((w) >= (l) && (w) <= (l) + 2)

byte list = 0;             /* the list in force */
byte holder[HOSTS];        /* 0, or the claimer that has the key, plus one */
bool young[HOSTS];         /* restarted since the key was born */
bool over = false;         /* the key's time is over */
byte restarts = 0;
byte sent = 0;
byte finished = 0;

/* Witness.claim */
inline ask(w, me, got) {
	if
#ifndef NO_ONCE
	:: holder[w] != 0 && holder[w] != me + 1 -> skip
#endif
#ifndef NO_YOUNG
	:: young[w] && holder[w] == 0 -> skip
#endif
	:: else -> holder[w] = me + 1; got = got | (1 << w)
	fi
}

#define ALL 15
#define HAS(got, w) (((got) >> (w)) & 1)
#define WINS(got, l) (HAS(got, l) + HAS(got, l + 1) + HAS(got, l + 2) >= 2)

proctype Claimer(byte me) {
	byte got = 0;
	byte w = 0;
	byte asked = 0;
	byte base = 0;
	byte last;
	byte l;
	bool wins = true;

	/* History.Sets: the lists from the key's birth to the one read last. The
	   list that the claimer has read may lag behind the one in force. */
	atomic {
		if
		:: last = list
		:: list > 0 -> last = list - 1
		fi;
#ifdef NO_BASE
		base = last;
#endif
	}
	do
	:: asked != ALL ->
		atomic {
			if
			:: !HAS(asked, 0) -> w = 0
			:: !HAS(asked, 1) -> w = 1
			:: !HAS(asked, 2) -> w = 2
			:: !HAS(asked, 3) -> w = 3
			fi;
			asked = asked | (1 << w);
			if
			:: w >= base && w <= last + 2 -> ask(w, me, got)
#ifndef ONE
			:: true -> skip        /* the message or the answer is lost */
#endif
			:: !(w >= base && w <= last + 2) -> skip
			fi;
			w = 0
		}
	:: else -> break
	od;

	/* Claimer.State */
	atomic {
		l = base;
		do
		:: l <= last ->
#ifdef NO_MAJORITY
			wins = wins && (HAS(got, l) + HAS(got, l + 1) + HAS(got, l + 2) >= 1);
#else
			wins = wins && WINS(got, l);
#endif
			l++
		:: else -> break
		od;
		l = 0;
		last = 0;
		base = 0;
		asked = 0
	}
	if
	:: wins ->
		/* Claimer.MaySend: checked last thing, in one step with the send. The
		   permit ends long before any witness forgets the key. */
		atomic {
			if
#ifndef NO_PERMIT
			:: over -> skip
			:: !over -> sent++
#else
			:: true -> sent++
#endif
			fi
		}
	:: else ->
		/* Claimer.GiveUp, Witness.GiveUp */
		do
		:: w < HOSTS ->
			atomic {
				if
				:: holder[w] == me + 1 -> holder[w] = 0
				:: else -> skip
				fi;
				w++
			}
		:: else -> break
		od;
#ifdef NO_FINAL
		/* An answer that comes late is counted after all. */
		if
		:: got != 0 -> sent++
		:: true -> skip
		fi
#endif
	fi;
	finished++;
	assert(sent <= 1)
}

#ifndef ONE
proctype Faults() {
	byte w;
	do
	:: atomic { list == 0 && !over -> list = 1 }
	:: atomic {
		/* A witness restarts and forgets. */
		restarts < 2 ->
		select(w : 0 .. 3);
		restarts++;
		holder[w] = 0;
		young[w] = true
	   }
	:: atomic {
		/* The key's time is over: all forget it and, for a key without a date,
		   would grant it again. */
		!over ->
		over = true;
		w = 0;
		do
		:: w < HOSTS -> holder[w] = 0; young[w] = false; w++
		:: else -> break
		od
	   }
	:: break
	od
}
#endif

init {
	byte i = 0;
	atomic {
		do
		:: i < CLAIMERS -> run Claimer(i); i++
		:: else -> break
		od;
#ifndef ONE
		run Faults()
#endif
	};
	finished == CLAIMERS;
#ifdef ONE
	assert(sent == 1)
#endif
}
