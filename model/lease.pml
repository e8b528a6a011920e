/*
 * One owner for each target, without a store: the lease protocol of core/lease.
 *
 * Two daemons, three witnesses of which one may restart once, one target. Time is a counter that moves on by
 * itself, so anybody may stand still for any time at any step. A lease lasts TTL
 * at its owner, counted from before it asked, and TTL at each witness, counted
 * from its grant.
 *
 * CHECKS: the target refuses an order with a number below the highest it saw;
 * orders may be on their way for any time.
 * IGNORES: it carries out every order. An order is then on its way for at most
 * SEND, after which its sender has closed the connection and the target gets it
 * no more; the last check, this bound and the new owner's wait protect it.
 *
 * Never is an order carried out after one of a later owner, and no number is
 * used by two owners.
 *
 * Switches that remove a rule:
 *   NO_QUORUM    a lease needs a majority
 *   NO_YOUNG     a restarted witness grants nothing for TTL
 *   NO_CLOCK     (CHECKS) a number is the time of the claim, so that it rises
 *                from owner to owner without anybody's memory
 *   NO_FENCE     (CHECKS) the target compares numbers
 *   NO_LASTCHECK (IGNORES) the lease is checked last thing before the send
 *   NO_WAITOUT   (IGNORES) a new owner waits SEND before its first order
 *
 * ONE runs one daemon without faults, which must have its order carried out.
 */

#ifdef IGNORES
#define TTL 3
#define END 5
#define TRIES(me) 1
#else
#define TTL 2
#define END 4
#define TRIES(me) (2 - me)
#endif
#define SEND 1
#ifdef ONE
#define OWNERS 1
#else
#define OWNERS 2
#endif

byte now = 0;
byte holder[3];       /* 0, or the owner plus one */
byte until[3];        /* the grant ends */
byte quiet[3];        /* restarted: grants nothing before this time */

byte targetFence = 0; /* the highest number that the target saw */
byte lastFence = 0;   /* the number of the last order carried out */
byte user[10];         /* who used a number, plus one */
bool applied = false;

/* Witness.Acquire */
inline ask(w, me, got) {
	if
#ifndef NO_YOUNG
	:: now < quiet[w] -> skip
#endif
	:: holder[w] != 0 && holder[w] != me + 1 && now < until[w] -> skip
	:: else ->
		holder[w] = me + 1;
		until[w] = now + TTL;
		got++
	fi
}

inline round(w, me, got) {
	if
	:: true -> ask(w, me, got)
#ifndef ONE
	:: me == 0 -> skip   /* lost */
#endif
	fi;
	w++
}

proctype Owner(byte me) {
	byte fence;
	byte start;
	byte ready;
	byte got;
	byte w;
	byte sentAt;
	byte tries = 0;

	do
	:: now < END && tries < TRIES(me) ->
		atomic {
			tries++;
			/* Owner.Start: the number is the time, never ahead of the clock */
#ifdef NO_CLOCK
			fence = tries;
#else
			fence = now + 1;
#endif
			start = now;
			got = 0;
			w = 0
		}
		if
		:: me == 0 ->
			do
			:: w < 3 -> atomic { round(w, me, got) }
			:: else -> break
			od
		:: else ->
			/* The second daemon's round is one step, to bound the search; the
			   first one's is taken apart around it. */
			atomic {
				do
				:: w < 3 -> round(w, me, got)
				:: else -> break
				od
			}
		fi;
		if
#ifdef NO_QUORUM
		:: got >= 1 ->
#else
		:: got >= 2 ->
#endif
			ready = now;
#ifdef IGNORES
#ifndef NO_WAITOUT
			/* Owner.MayOrder: the old owner's last order has arrived by now */
			(now > ready + SEND || now > END);
#endif
#endif
			/* Owner.MayOrder, checked in one step with the send */
			atomic {
				if
#ifndef NO_LASTCHECK
				:: now >= start + TTL || now > END -> sentAt = END + 1
				:: now < start + TTL && now <= END ->
#else
				:: now > END -> sentAt = END + 1
				:: now <= END ->
#endif
					sentAt = now;
					assert(user[fence] == 0 || user[fence] == me + 1);
					user[fence] = me + 1
				fi
			}
			/* The order arrives, late, or not at all. */
			atomic {
				if
#ifdef CHECKS
				:: sentAt <= END ->
#else
				:: sentAt <= END && now <= sentAt + SEND ->
#endif
					if
#ifdef CHECKS
#ifndef NO_FENCE
					:: fence < targetFence -> skip
#endif
#endif
					:: else ->
						assert(fence >= lastFence);
						lastFence = fence;
						applied = true;
						if
						:: fence > targetFence -> targetFence = fence
						:: else -> skip
						fi
					fi
				:: else -> skip
				fi;
				sentAt = 0;
				ready = 0
			}
		:: else -> skip
		fi;
		atomic {
			start = 0;
			got = 0;
			w = 0
		}
	:: else -> break
	od
}

#ifndef ONE
proctype Clock() {
	do
	:: atomic { now <= END + 1 -> now++ }
	:: now > END + 1 -> break
	od
}

proctype Restart() {
	if
	:: atomic {
		holder[1] = 0;
		until[1] = 0;
		quiet[1] = now + TTL
	   }
	:: true
	fi
}
#endif

init {
	atomic {
		run Owner(0);
#ifndef ONE
		run Owner(1);
		run Clock();
		run Restart()
#endif
	}
#ifdef ONE
	_nr_pr == 1;
	assert(applied)
#endif
}
