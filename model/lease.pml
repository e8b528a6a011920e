/*
 * At most one owner for each target, without a store: the lease protocol of core/lease.
 *
 * The model has two daemons, three witnesses of which one may restart once, and one target.
 * Time is a counter that advances independently, so any process may pause for any time at
 * any step. A lease lasts TTL at its owner, counted from before its request, and TTL at
 * each witness, counted from its grant.
 *
 * CHECKS: the target refuses an order whose fencing token is below the highest it saw;
 * orders may be in flight for any time.
 * IGNORES: the target executes every order. An order is then in flight for at most SEND,
 * after which its sender has closed the connection and the target no longer receives it;
 * the check before the send, this bound and the new owner's wait protect the target.
 *
 * An order is never executed after one of a later owner, and no token is used by two
 * owners.
 *
 * Switches, each with the rule that it removes:
 *   NO_QUORUM    a lease needs a majority
 *   NO_YOUNG     a restarted witness grants nothing for TTL
 *   NO_CLOCK     (CHECKS) a token is the time of the request, so that it increases
 *                from owner to owner without stored state
 *   NO_FENCE     (CHECKS) the target compares tokens
 *   NO_LASTCHECK (IGNORES) the lease is checked immediately before the send
 *   NO_WAITOUT   (IGNORES) a new owner waits SEND before its first order
 *
 * ONE runs one daemon without faults, whose order must be executed.
 */

/* END is the last time at which an order is sent; MAX_ROUNDS limits a daemon's attempts to
   get the lease. */
#ifdef IGNORES
#define TTL 3
#define END 5
#define MAX_ROUNDS(me) 1
#else
#define TTL 2
#define END 4
#define MAX_ROUNDS(me) (2 - me)
#endif
#define SEND 1
#ifdef ONE
#define OWNERS 1
#else
#define OWNERS 2
#endif

byte now = 0;
byte holder[3];       /* 0, or the index of the owner plus one */
byte expires[3];      /* when the grant expires */
byte refusesUntil[3]; /* the witness restarted and grants nothing before this time */

byte targetToken = 0; /* the highest token that the target saw */
byte lastToken = 0;   /* the token of the last order executed */
byte tokenOwner[10];  /* the owner that used a token, plus one */
bool executed = false;

/* Witness.Acquire */
inline acquire(w, me, grants) {
	if
#ifndef NO_YOUNG
	:: now < refusesUntil[w] -> skip
#endif
	:: holder[w] != 0 && holder[w] != me + 1 && now < expires[w] -> skip
	:: else ->
		holder[w] = me + 1;
		expires[w] = now + TTL;
		grants++
	fi
}

inline requestLease(w, me, grants) {
	if
	:: true -> acquire(w, me, grants)
#ifndef ONE
	:: me == 0 -> skip   /* the message is lost */
#endif
	fi;
	w++
}

proctype Owner(byte me) {
	byte token;
	byte roundStart;
	byte acquiredAt;
	byte grants;
	byte w;
	byte sentAt;
	byte rounds = 0;

	do
	:: now < END && rounds < MAX_ROUNDS(me) ->
		atomic {
			rounds++;
			/* Owner.StartRound: the token is the time at the start of the round, and no
			   later one; plus one, as 0 stands for no token */
#ifdef NO_CLOCK
			token = rounds;
#else
			token = now + 1;
#endif
			roundStart = now;
			grants = 0;
			w = 0
		}
		if
		:: me == 0 ->
			do
			:: w < 3 -> atomic { requestLease(w, me, grants) }
			:: else -> break
			od
		:: else ->
			/* The second daemon's round is one step, to bound the search; the
			   first daemon's steps interleave with it. */
			atomic {
				do
				:: w < 3 -> requestLease(w, me, grants)
				:: else -> break
				od
			}
		fi;
		if
#ifdef NO_QUORUM
		:: grants >= 1 ->
#else
		:: grants >= 2 ->
#endif
			acquiredAt = now;
#ifdef IGNORES
#ifndef NO_WAITOUT
			/* Owner.MayOrder: the previous owner's last order has arrived by now */
			(now > acquiredAt + SEND || now > END);
#endif
#endif
			/* Owner.MayOrder, checked in one step with the send; sentAt is END + 1 if no
			   order is sent */
			atomic {
				if
#ifndef NO_LASTCHECK
				:: now >= roundStart + TTL || now > END -> sentAt = END + 1
				:: now < roundStart + TTL && now <= END ->
#else
				:: now > END -> sentAt = END + 1
				:: now <= END ->
#endif
					sentAt = now;
					assert(tokenOwner[token] == 0 || tokenOwner[token] == me + 1);
					tokenOwner[token] = me + 1
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
					:: token < targetToken -> skip
#endif
#endif
					:: else ->
						assert(token >= lastToken);
						lastToken = token;
						executed = true;
						if
						:: token > targetToken -> targetToken = token
						:: else -> skip
						fi
					fi
				:: else -> skip
				fi;
				sentAt = 0;
				acquiredAt = 0
			}
		:: else -> skip
		fi;
		atomic {
			roundStart = 0;
			grants = 0;
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
		expires[1] = 0;
		refusesUntil[1] = now + TTL
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
	assert(executed)
#endif
}
