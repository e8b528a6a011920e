/*
 * Who is alive, in a fleet that no list names: core/membership with an open table.
 *
 * Three daemons, one of them the seed of all. One may be cut off from the others and come back; one may end and start
 * again, with a clock that stands before or after the last one's; one may say that it
 * leaves, and goes on for a while. Whoever does not hear a daemon may declare it dead.
 * Rumors may be lost at any time: a daemon is only sure to hear what a peer tells it in an
 * exchange after a heartbeat whose digest differs, or when it looks for a lost one.
 *
 * In the end, when nobody is cut off and heartbeats go round, all that run know each
 * other as alive, and nobody knows as alive one that has ended or leaves.
 *
 * Not in the model: that the dead are forgotten after a minute, and who watches whom
 * (everybody may).
 *
 * Switches that remove a rule:
 *   NO_DENY    a daemon that hears of its own death denies it
 *   NO_RAISE   a denial has a higher incarnation than what it denies
 *   NO_NEWER   a rumor replaces only an older one
 *   NO_DIGEST  daemons whose digests differ tell each other what they know; the program
 *              compares in 64 parts and tells of those that differ, the model has one part
 *   NO_LOST    daemons that were lost are looked for again
 *   NO_LEAVE   a daemon that leaves does not deny it
 */

#define N 3
#define STEPS 7   /* what happens before the network is whole again */
#define ROUNDS 4  /* rounds of heartbeats after that */

#define NONE 0
#define ALIVE 1
#define DEAD 2
#define LEFT 3

#define NOBODY N
#define SEED 1     /* the daemon that all know from their settings; it may end for good */

byte state[N * N];        /* what daemon i believes of x, at i * N + x */
byte incarnation[N * N];
byte own[N];              /* a daemon's own incarnation */
bool up[N];
bool leaving[N];
byte cut = NOBODY;        /* the daemon that is cut off */

#define OF(i, x) (i) * N + (x)
#define REACHES(i, j) (up[i] && up[j] && cut != (i) && cut != (j))

/* Table.Receive: daemon d hears that m is in a state, as of an incarnation. */
inline receive(d, m, st, inc) {
	if
	:: m == d ->
		if
#ifndef NO_DENY
#ifdef NO_LEAVE
		:: st != ALIVE && inc >= own[d]
#else
		:: st != ALIVE && inc >= own[d] && !leaving[d]
#endif
#ifdef NO_RAISE
			-> own[d] = inc
#else
			-> own[d] = inc + 1
#endif
#endif
		:: else
		fi
	:: m != d && state[OF(d, m)] == NONE ->
		if
		:: st == ALIVE -> state[OF(d, m)] = st; incarnation[OF(d, m)] = inc
		:: else
		fi
	:: m != d && state[OF(d, m)] != NONE ->
		if
#ifdef NO_NEWER
		:: true
#else
		:: inc > incarnation[OF(d, m)] || inc == incarnation[OF(d, m)] && st > state[OF(d, m)]
#endif
			-> state[OF(d, m)] = st; incarnation[OF(d, m)] = inc
		:: else
		fi
	fi
}

/* Table.Everybody: p tells q all that it knows. */
inline tellAll(p, q) {
	receive(q, p, ALIVE, own[p]);
	x = 0;
	do
	:: x < N && x != p && state[OF(p, x)] != NONE -> receive(q, x, state[OF(p, x)], incarnation[OF(p, x)]); x++
	:: x < N && (x == p || state[OF(p, x)] == NONE) -> x++
	:: x == N -> break
	od
}

/* Table.Digest: whether i and j list the same daemons as alive, themselves included */
#define LISTS(i, k) ((i) == (k) || state[OF(i, k)] == ALIVE)
#define SAME(i, j) (LISTS(i, 0) == LISTS(j, 0) && LISTS(i, 1) == LISTS(j, 1) && LISTS(i, 2) == LISTS(j, 2))

/* a keeps a link to b, which it takes to be alive, and sends a heartbeat. */
inline heartbeat(a, b) {
	if
	:: state[OF(b, a)] != NONE -> receive(b, a, ALIVE, own[a])
	:: else
	fi;
#ifndef NO_DIGEST
	if
	:: !SAME(a, b) -> tellAll(b, a); tellAll(a, b)
	:: else
	fi
#endif
}

/* a introduces itself to b: a seed, or a daemon that was lost. */
inline introduce(a, b) {
	receive(b, a, ALIVE, own[a]);
	tellAll(b, a)
}

#define ALONE(i) (state[OF(i, 0)] != ALIVE && state[OF(i, 1)] != ALIVE && state[OF(i, 2)] != ALIVE)

/* What e does about f in its turn, if it reaches it. */
inline turn(e, f) {
	if
	:: REACHES(e, f) && state[OF(e, f)] == ALIVE -> heartbeat(e, f)
#ifndef NO_LOST
	:: REACHES(e, f) && state[OF(e, f)] == DEAD -> introduce(e, f)
#endif
	:: REACHES(e, f) && state[OF(e, f)] != ALIVE && f == SEED && ALONE(e) -> introduce(e, f)
	:: else
	fi
}

inline declare(e, f) {
	if
	:: up[e] && state[OF(e, f)] == ALIVE && !REACHES(e, f) -> state[OF(e, f)] = DEAD
	:: else
	fi
}

inline restart(e, start) {
	own[e] = start;
	x = 0;
	do
	:: x < N -> state[OF(e, x)] = NONE; incarnation[OF(e, x)] = 0; x++
	:: x == N -> break
	od;
	up[e] = true
}

/* What must hold in the end: i is right about j, if i runs and means to stay. */
#define KNOWS(i, j) ((i) == (j) || !up[i] || leaving[i] || (state[OF(i, j)] == ALIVE) == (up[j] && !leaving[j]))

active proctype Fleet() {
	byte steps = 0, round = 0, i, j, x;
	bool wasCut = false, ended = false, left = false;
	atomic {
		/* In the beginning all know each other. */
		i = 0;
		do
		:: i < N -> up[i] = true; own[i] = 2; i++
		:: i == N -> break
		od;
		i = 0;
		do
		:: i < N * N -> state[i] = ALIVE; incarnation[i] = 2; i++
		:: i == N * N -> break
		od
	}
	do
	:: atomic { steps < STEPS && !wasCut -> wasCut = true; steps++; cut = 0 }
	:: atomic { steps < STEPS && cut != NOBODY -> steps++; cut = NOBODY }
	:: atomic { steps < STEPS && !ended -> ended = true; steps++; up[1] = false }
	:: atomic { steps < STEPS && !up[1] -> steps++;
		if
		:: restart(1, 1)                       /* its clock was set back */
		:: restart(1, 4)
		fi }
	:: atomic { steps < STEPS && !left -> left = true; steps++; leaving[2] = true;
		if /* the rumor reaches anybody, or nobody */
		:: REACHES(2, 0) -> i = 0
		:: REACHES(2, 1) -> i = 1
		:: true -> i = NOBODY
		fi;
		if
		:: i != NOBODY -> receive(i, 2, LEFT, own[2])
		:: i == NOBODY
		fi }
	:: atomic { steps < STEPS ->
		if :: i = 0 :: i = 1 :: i = 2 fi;
		if :: j = (i + 1) % N :: j = (i + 2) % N fi;
		steps++;
		if
		:: true -> declare(i, j)
		:: true -> turn(i, j)
		fi }
	:: steps == STEPS -> break
	od;
	atomic {
		cut = NOBODY;
		if
		:: !up[1] -> restart(1, 1)
		:: !up[1] && !left -> skip             /* it does not come back */
		:: up[1] -> skip
		fi;
		if /* one that leaves says so to whom it still reaches, and may end now */
		:: leaving[2] -> receive(0, 2, LEFT, own[2]); receive(1, 2, LEFT, own[2])
		:: leaving[2] -> up[2] = false
		:: !leaving[2] -> skip
		fi;
		round = 0;
		do
		:: round < ROUNDS * N ->
			i = round % N;
			j = (i + 1) % N;
			do
			:: j != i -> declare(i, j); turn(i, j); j = (j + 1) % N
			:: j == i -> break
			od;
			round++
		:: round == ROUNDS * N -> break
		od;
		i = 0;
		do
		:: i < N * N ->
			assert(KNOWS(i / N, i % N));
			i++
		:: i == N * N -> break
		od
	}
}
