/*
 * Who is a living target, told by a store that may be away and by peers whose news may
 * be old: the table of core/hostlist.
 *
 * One target, one store, two daemons of which one may restart once. Each change of the
 * target's entry has a revision. While the store is away the entry may run out though
 * the target lives; then it is back before the time of grace after the store's return is
 * over (the users' promise). The target may also leave for good. Daemons read the store
 * whenever it answers, and take in any fact that the other one ever told, in any order.
 *
 * Never is a living target taken as gone, nor one listed again by a fact older than its
 * removal; and in the end each daemon knows the truth.
 *
 * Not in the model: an outage that no daemon notices (removals of many targets at once
 * are taken for one, by a share that the settings of the table give), and time in
 * seconds: GRACE stands for the store's return until the time of grace is over.
 *
 * Switches that remove a rule:
 *   NO_DOUBT     a removal around an outage is in doubt, and the target stays listed
 *   NO_READ      a doubt ends only at a daemon that has read the store since
 *   NO_SILENCE   a removal in doubt is not told to peers
 *   NO_WHOLE     what a read of the whole did not list is not taken from older facts
 *   NO_REVISION  an older fact does not replace a newer one
 *   NO_REMEMBER  the removal of a target that is not listed is remembered
 *   NO_TICK      a doubt ends after the time of grace
 */

#define DAEMONS 2
#define STEPS 5      /* what a daemon does before the store is at rest */
#define REVISIONS 5

mtype = { UP, AWAY, GRACE, REST };

mtype phase = UP;
byte rev = 1;               /* the newest revision; the target is registered at 1 */
bool up[REVISIONS];         /* whether the entry is there as of a revision */
bool lives = true;
bool ran = false;           /* the entry ran out and is not back */

byte known[DAEMONS];        /* the revision of what a daemon believes */
bool listed[DAEMONS];
byte doubted[DAEMONS];      /* the revision of a removal in doubt, or 0 */
byte whole[DAEMONS];        /* the revision of its first read, which lists the whole */
byte seen[DAEMONS];         /* the revision up to which it has read the store */
bool fresh[DAEMONS];        /* it has read the store since the time of grace was over */
byte gone[DAEMONS];         /* the newest removal that it took as true, in this life */
bool told[DAEMONS * REVISIONS * 2]; /* facts that a daemon told, removals first */

#define TOLD(d, r, v) told[((d) * REVISIONS + (r)) * 2 + (v)]

inline change(v) {
	rev++;
	up[rev] = v
}

proctype Store() {
	bool left = false, away = false;
	do
	:: atomic { phase == UP && !away -> away = true; phase = AWAY }
	:: atomic { phase == AWAY && up[rev] && !ran -> change(false); ran = true }
	:: atomic { phase == AWAY -> phase = GRACE }
	:: atomic { phase == GRACE && ran && lives -> change(true); ran = false }
	:: atomic { phase == GRACE && !(ran && lives) -> phase = REST }
	:: atomic { phase != AWAY && !left && lives && up[rev] -> left = true; lives = false; change(false) }
	:: atomic { phase == AWAY && !left && ran -> left = true; lives = false }
	:: atomic { phase == UP -> phase = REST; break }
	:: phase == REST -> break
	od
}

inline confirm(d, r) {
	assert(!lives);
	listed[d] = false;
	known[d] = r;
	if
	:: gone[d] < r -> gone[d] = r
	:: else
	fi;
	TOLD(d, r, 0) = true;
	doubted[d] = 0 /* last, as r may stand for it */
}

inline list(d, r) {
	assert(gone[d] < r);
	listed[d] = true;
	known[d] = r;
	doubted[d] = 0;
	TOLD(d, r, 1) = true
}

/* Table.put */
inline put(d, r) {
	if
#ifdef NO_REVISION
	:: known[d] != r -> list(d, r)
#else
#ifdef NO_WHOLE
	:: r > known[d] && r > doubted[d] -> list(d, r)
#else
	:: r > known[d] && r > doubted[d] && (known[d] > 0 || r > whole[d]) -> list(d, r)
	:: known[d] == 0 && r <= whole[d] && phase != GRACE
	:: known[d] == 0 && r <= whole[d] && phase == GRACE -> list(d, r); doubted[d] = whole[d]
#endif
#endif
	:: else
	fi
}

/* Table.remove: a removal from the store, or, then sure, from a peer */
inline remove(d, r, sure) {
	if
	:: r <= known[d]
	:: r > known[d] && !listed[d] ->
#ifdef NO_REMEMBER
		if :: gone[d] < r -> gone[d] = r :: else fi
#else
		confirm(d, r)
#endif
	:: r > known[d] && listed[d] && (sure || phase != GRACE) -> confirm(d, r)
	:: r > known[d] && listed[d] && !sure && phase == GRACE ->
#ifdef NO_DOUBT
		confirm(d, r)
#else
		if :: doubted[d] < r -> doubted[d] = r :: else fi;
#ifdef NO_SILENCE
		TOLD(d, r, 0) = true
#endif
#endif
	fi
}

/* a read of the store, which brings what changed since the last one */
inline read(d) {
	if
	:: seen[d] == rev
	:: seen[d] < rev && up[rev] -> put(d, rev)
	:: seen[d] < rev && !up[rev] && whole[d] == 0 && known[d] == 0 /* it lists only what is there */
	:: seen[d] < rev && !up[rev] && (whole[d] > 0 || known[d] > 0) -> remove(d, rev, false)
	fi;
	if :: whole[d] == 0 -> whole[d] = rev :: else fi;
	seen[d] = rev;
	fresh[d] = (phase == REST)
}

/* Table.Tick */
inline tick(d) {
	if
#ifndef NO_TICK
#ifdef NO_READ
	:: doubted[d] > 0 && phase == REST -> confirm(d, doubted[d])
#else
	:: doubted[d] > 0 && phase == REST && fresh[d] -> confirm(d, doubted[d])
#endif
#endif
	:: else
	fi
}

inline hear(d, other) {
	byte r = 1, v = 0;
	if
	:: r = 1
	:: r = 2
	:: r = 3
	:: r = 4
	fi;
	if
	:: v = 0
	:: v = 1
	fi;
	if
	:: !TOLD(other, r, v)
	:: TOLD(other, r, v) && v == 1 -> put(d, r)
	:: TOLD(other, r, v) && v == 0 -> remove(d, r, true)
	fi
}

proctype Daemon(byte me) {
	byte steps = 0;
	bool restarted = (me == 0);
	do
	:: atomic { steps < STEPS && phase != AWAY -> steps++; read(me) }
	:: atomic { steps < STEPS -> steps++; hear(me, 1 - me) }
	:: atomic { steps < STEPS -> steps++; tick(me) }
	:: atomic { steps < STEPS && !restarted -> restarted = true;
		known[me] = 0; listed[me] = false; doubted[me] = 0; gone[me] = 0; whole[me] = 0; seen[me] = 0; fresh[me] = false }
	:: atomic { phase == REST -> break }
	od;
	/* In the end: one more read, and the end of a doubt. */
	atomic {
		read(me);
		tick(me);
		assert(listed[me] == lives || lives != up[rev])
	}
}

init {
	atomic {
		up[1] = true;
		run Store();
		run Daemon(0);
		run Daemon(1)
	}
}
