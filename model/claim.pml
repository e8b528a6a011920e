/*
 * At-most-once sending without a store: the claim protocol of core/claim.
 *
 * The model has one key, two claimers and hosts 0..3 that serve as witnesses. The host
 * list changes once, from {0,1,2} to {1,2,3}; a majority of one list need not intersect
 * a majority of the other: {0,1} and {2,3}. Messages may be lost (a claimer skips a
 * witness), delayed, and answered in any order (each grant is a step of its own).
 * Witnesses restart and lose their grants, at most twice in total. The key may expire,
 * after which every witness has removed it. Claimers may pause at any step.
 *
 * docs/design/claims.md maps each step to its function in Go.
 *
 * Switches (spin -DNO_...), each with the rule that it removes:
 *   NO_BASE     a claim needs a majority in every list since the key's creation
 *   NO_MAJORITY a claim needs a majority
 *   NO_ONCE     a witness grants a key to one attempt only
 *   NO_YOUNG    a restarted witness does not grant keys created before its start
 *   NO_PERMIT   the permission to send that a won claim gives (the permit) expires before
 *               witnesses remove the key
 *   NO_FINAL    a claimer that gave up never sends
 *
 * ONE runs a single claimer without faults and checks progress: it must send.
 */

#define HOSTS 4
#ifdef ONE
#define CLAIMERS 1
#else
#define CLAIMERS 2
#endif

/* Host list l, 0 or 1, consists of the hosts l, l + 1 and l + 2. */
#define IN(l, w) ((w) >= (l) && (w) <= (l) + 2)

byte currentList = 0;  /* the host list in force */
byte holder[HOSTS];    /* 0, or the index of the claimer that holds the key, plus one */
bool restarted[HOSTS]; /* the witness restarted after the key was created */
bool expired = false;  /* the key has expired */
byte restarts = 0;
byte sent = 0;
byte finished = 0;

/* Witness.claim */
inline requestGrant(w, me, granted) {
	if
#ifndef NO_ONCE
	:: holder[w] != 0 && holder[w] != me + 1 -> skip
#endif
#ifndef NO_YOUNG
	:: restarted[w] && holder[w] == 0 -> skip
#endif
	:: else -> holder[w] = me + 1; granted = granted | (1 << w)
	fi
}

#define ALL 15
#define HAS(granted, w) (((granted) >> (w)) & 1)
#define MAJORITY(granted, l) (HAS(granted, l) + HAS(granted, l + 1) + HAS(granted, l + 2) >= 2)

proctype Claimer(byte me) {
	byte granted = 0;
	byte w = 0;
	byte asked = 0;
	byte firstList = 0;
	byte lastList;
	byte l;
	bool won = true;

	/* History.Sets: the lists from the key's creation to the latest one that the
	   claimer has read, which may lag behind the list in force. */
	atomic {
		if
		:: lastList = currentList
		:: currentList > 0 -> lastList = currentList - 1
		fi;
#ifdef NO_BASE
		firstList = lastList;
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
			:: w >= firstList && w <= lastList + 2 -> requestGrant(w, me, granted)
#ifndef ONE
			:: true -> skip        /* the message or the answer is lost */
#endif
			:: !(w >= firstList && w <= lastList + 2) -> skip
			fi;
			w = 0
		}
	:: else -> break
	od;

	/* Claimer.State */
	atomic {
		l = firstList;
		do
		:: l <= lastList ->
#ifdef NO_MAJORITY
			won = won && (HAS(granted, l) + HAS(granted, l + 1) + HAS(granted, l + 2) >= 1);
#else
			won = won && MAJORITY(granted, l);
#endif
			l++
		:: else -> break
		od;
		l = 0;
		lastList = 0;
		firstList = 0;
		asked = 0
	}
	if
	:: won ->
		/* Claimer.MaySend: checked immediately before the send, in one step with it.
		   The permit expires long before any witness removes the key. */
		atomic {
			if
#ifndef NO_PERMIT
			:: expired -> skip
			:: !expired -> sent++
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
		/* An answer that arrives after the claimer gave up is counted. */
		if
		:: granted != 0 -> sent++
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
	:: atomic { currentList == 0 && !expired -> currentList = 1 }
	:: atomic {
		/* A witness restarts and loses its grants. */
		restarts < 2 ->
		select(w : 0 .. 3);
		restarts++;
		holder[w] = 0;
		restarted[w] = true
	   }
	:: atomic {
		/* The key expires: every witness removes it. NO_YOUNG's rule does not apply from
		   then on: the model takes a key without a creation time, which restarted
		   witnesses too would grant again. */
		!expired ->
		expired = true;
		w = 0;
		do
		:: w < HOSTS -> holder[w] = 0; restarted[w] = false; w++
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
