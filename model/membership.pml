/*
 * Failure detection in a fleet without a host list: core/membership with an open table.
 *
 * The model has three daemons, one of them the seed of all. One may be partitioned from the
 * others and reconnect; one may end and start again, with a clock before or after that of
 * its previous start; one may announce that it leaves, and run on for a while. A daemon may
 * declare dead any daemon that it does not hear. Rumors may be lost at any time: a daemon
 * is only sure to receive what a peer sends in an exchange after a heartbeat with a
 * different digest, or when it contacts a dead member again.
 *
 * Once no daemon is partitioned and heartbeats are exchanged, all running daemons see each
 * other as alive, and none sees as alive a daemon that has ended or is leaving.
 *
 * Not in the model: the removal of dead members after a minute, and the choice of
 * neighbours (any daemon may watch any other).
 *
 * Switches, each with the rule that it removes:
 *   NO_DENY    a daemon that receives a rumor of its own death refutes it
 *   NO_RAISE   a refutation has a higher incarnation than the rumor
 *   NO_NEWER   a rumor replaces only an older one
 *   NO_DIGEST  daemons whose digests differ exchange their rumors; the program compares 64
 *              buckets and sends those that differ, the model has one bucket
 *   NO_LOST    dead members are contacted again
 *   NO_LEAVE   a leaving daemon does not refute its departure
 */

#define N 3
#define STEPS 7  /* steps before the partition heals and faults end */
#define ROUNDS 4 /* rounds of heartbeats after that */

/* States; of two rumors of the same incarnation, the higher state counts as newer. */
#define NONE 0
#define ALIVE 1
#define DEAD 2
#define LEFT 3

#define NOBODY N
#define SEED 1 /* the seed in the settings of all daemons; it may end for good */

byte state[N * N]; /* the state of x as daemon i sees it, at i * N + x */
byte incarnation[N * N];
byte ownIncarnation[N]; /* a daemon's own incarnation */
bool up[N];
bool leaving[N];
byte partitioned = NOBODY; /* the daemon that is partitioned from the others */

#define AT(i, x) (i) * N + (x)
#define REACHES(i, j) (up[i] && up[j] && partitioned != (i) && partitioned != (j))

/* Table.Receive: daemon d receives a rumor about the state of m, as of an incarnation. */
inline receive(d, m, st, inc) {
	if
	:: m == d ->
		if
#ifndef NO_DENY
#ifdef NO_LEAVE
		:: st != ALIVE && inc >= ownIncarnation[d]
#else
		:: st != ALIVE && inc >= ownIncarnation[d] && !leaving[d]
#endif
#ifdef NO_RAISE
			-> ownIncarnation[d] = inc
#else
			-> ownIncarnation[d] = inc + 1
#endif
#endif
		:: else
		fi
	:: m != d && state[AT(d, m)] == NONE ->
		if
		:: st == ALIVE -> state[AT(d, m)] = st; incarnation[AT(d, m)] = inc
		:: else
		fi
	:: m != d && state[AT(d, m)] != NONE ->
		if
#ifdef NO_NEWER
		:: true
#else
		:: inc > incarnation[AT(d, m)] || inc == incarnation[AT(d, m)] && st > state[AT(d, m)]
#endif
			-> state[AT(d, m)] = st; incarnation[AT(d, m)] = inc
		:: else
		fi
	fi
}

/* Table.AllRumors: p sends q everything that it knows. */
inline sendAllRumors(p, q) {
	receive(q, p, ALIVE, ownIncarnation[p]);
	x = 0;
	do
	:: x < N && x != p && state[AT(p, x)] != NONE -> receive(q, x, state[AT(p, x)], incarnation[AT(p, x)]); x++
	:: x < N && (x == p || state[AT(p, x)] == NONE) -> x++
	:: x == N -> break
	od
}

/* Table.Digest: whether i and j see the same daemons as alive, themselves included */
#define SEES_ALIVE(i, k) ((i) == (k) || state[AT(i, k)] == ALIVE)
#define SAME_VIEW(i, j) (SEES_ALIVE(i, 0) == SEES_ALIVE(j, 0) && SEES_ALIVE(i, 1) == SEES_ALIVE(j, 1) && SEES_ALIVE(i, 2) == SEES_ALIVE(j, 2))

/* a has a link to b, which it sees as alive, and sends a heartbeat. */
inline heartbeat(a, b) {
	if
	:: state[AT(b, a)] != NONE -> receive(b, a, ALIVE, ownIncarnation[a])
	:: else
	fi;
#ifndef NO_DIGEST
	if
	:: !SAME_VIEW(a, b) -> sendAllRumors(b, a); sendAllRumors(a, b)
	:: else
	fi
#endif
}

/* a introduces itself to b: a seed, or a dead member. */
inline introduce(a, b) {
	receive(b, a, ALIVE, ownIncarnation[a]);
	sendAllRumors(b, a)
}

#define ISOLATED(i) (state[AT(i, 0)] != ALIVE && state[AT(i, 1)] != ALIVE && state[AT(i, 2)] != ALIVE)

/* What e does about f in its turn, if f is reachable. */
inline contact(e, f) {
	if
	:: REACHES(e, f) && state[AT(e, f)] == ALIVE -> heartbeat(e, f)
#ifndef NO_LOST
	:: REACHES(e, f) && state[AT(e, f)] == DEAD -> introduce(e, f)
#endif
	:: REACHES(e, f) && state[AT(e, f)] != ALIVE && f == SEED && ISOLATED(e) -> introduce(e, f)
	:: else
	fi
}

inline declareDead(e, f) {
	if
	:: up[e] && state[AT(e, f)] == ALIVE && !REACHES(e, f) -> state[AT(e, f)] = DEAD
	:: else
	fi
}

inline restart(e, start) {
	ownIncarnation[e] = start;
	x = 0;
	do
	:: x < N -> state[AT(e, x)] = NONE; incarnation[AT(e, x)] = 0; x++
	:: x == N -> break
	od;
	up[e] = true
}

/* The final condition: i is right about j, if i runs and is not leaving. */
#define VIEW_CORRECT(i, j) ((i) == (j) || !up[i] || leaving[i] || (state[AT(i, j)] == ALIVE) == (up[j] && !leaving[j]))

active proctype Fleet() {
	byte steps = 0, round = 0, i, j, x;
	bool wasPartitioned = false, ended = false, left = false;
	atomic {
		/* Initially all daemons know each other. */
		i = 0;
		do
		:: i < N -> up[i] = true; ownIncarnation[i] = 2; i++
		:: i == N -> break
		od;
		i = 0;
		do
		:: i < N * N -> state[i] = ALIVE; incarnation[i] = 2; i++
		:: i == N * N -> break
		od
	}
	do
	:: atomic { steps < STEPS && !wasPartitioned -> wasPartitioned = true; steps++; partitioned = 0 }
	:: atomic { steps < STEPS && partitioned != NOBODY -> steps++; partitioned = NOBODY }
	:: atomic { steps < STEPS && !ended -> ended = true; steps++; up[1] = false }
	:: atomic { steps < STEPS && !up[1] -> steps++;
		if
		:: restart(1, 1)                       /* its clock was set back */
		:: restart(1, 4)
		fi }
	:: atomic { steps < STEPS && !left -> left = true; steps++; leaving[2] = true;
		if /* the rumor reaches one daemon, or none */
		:: REACHES(2, 0) -> i = 0
		:: REACHES(2, 1) -> i = 1
		:: true -> i = NOBODY
		fi;
		if
		:: i != NOBODY -> receive(i, 2, LEFT, ownIncarnation[2])
		:: i == NOBODY
		fi }
	:: atomic { steps < STEPS ->
		if :: i = 0 :: i = 1 :: i = 2 fi;
		if :: j = (i + 1) % N :: j = (i + 2) % N fi;
		steps++;
		if
		:: true -> declareDead(i, j)
		:: true -> contact(i, j)
		fi }
	:: steps == STEPS -> break
	od;
	atomic {
		partitioned = NOBODY;
		if
		:: !up[1] -> restart(1, 1)
		:: !up[1] && !left -> skip             /* the daemon does not come back */
		:: up[1] -> skip
		fi;
		if /* a leaving daemon announces it to those it still reaches, or has ended by now */
		:: leaving[2] -> receive(0, 2, LEFT, ownIncarnation[2]); receive(1, 2, LEFT, ownIncarnation[2])
		:: leaving[2] -> up[2] = false
		:: !leaving[2] -> skip
		fi;
		round = 0;
		do
		:: round < ROUNDS * N ->
			i = round % N;
			j = (i + 1) % N;
			do
			:: j != i -> declareDead(i, j); contact(i, j); j = (j + 1) % N
			:: j == i -> break
			od;
			round++
		:: round == ROUNDS * N -> break
		od;
		i = 0;
		do
		:: i < N * N ->
			assert(VIEW_CORRECT(i / N, i % N));
			i++
		:: i == N * N -> break
		od
	}
}
