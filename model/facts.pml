/*
 * Which targets are alive, according to a store that may be unavailable and to peers whose
 * updates may be outdated: the table of core/hostlist.
 *
 * The model has one target, one store, and two daemons of which one may restart once. Each
 * change of the target's entry has a revision. While the store is down the entry may expire
 * though the target is alive; the target then registers again within the grace period after
 * the store's return, as the platform guarantees. The target may also leave for good.
 * Daemons read the store whenever it answers, and receive any update that the other daemon
 * ever published, in any order.
 *
 * A living target is never taken as gone, and a target is never listed again by an update
 * older than its removal; eventually each daemon has the correct state.
 *
 * Not in the model: an outage that no daemon notices (the table takes the removal of many
 * targets at once for an outage, by a share that is a parameter of the table), and time in
 * seconds: GRACE stands for the time from the store's return to the end of the grace period.
 *
 * Switches, each with the rule that it removes:
 *   NO_DOUBT     a removal around an outage is unconfirmed, and the target stays listed
 *   NO_READ      a removal is confirmed only by a daemon that has read the store since
 *                the end of the grace period
 *   NO_SILENCE   an unconfirmed removal is not published to peers
 *   NO_WHOLE     a target missing from a full read is not added by older updates
 *   NO_REVISION  an older update does not replace a newer one
 *   NO_REMEMBER  the revision of a removal is kept even if the target is not listed
 *   NO_TICK      a removal is confirmed after the grace period
 */

#define DAEMONS 2
#define STEPS 5 /* steps of a daemon before the store has settled */
#define REVISIONS 5

mtype = { UP, DOWN, GRACE, SETTLED };

mtype phase = UP;
byte rev = 1;               /* the newest revision; the target is registered at 1 */
bool registered[REVISIONS]; /* whether the entry exists as of a revision */
bool alive = true;
bool expired = false; /* the entry expired and is not back */

byte knownRev[DAEMONS]; /* the revision of the state that a daemon holds */
bool listed[DAEMONS];
byte unconfirmed[DAEMONS];               /* the revision of an unconfirmed removal, or 0 */
byte firstRead[DAEMONS];                 /* the revision of the first read, which is a full one */
byte readUpTo[DAEMONS];                  /* the revision up to which the daemon has read the store */
bool readAfterGrace[DAEMONS];            /* the daemon has read the store since the end of the grace period */
byte tombstone[DAEMONS];                 /* the newest removal known since the start; for the assertion only */
bool published[DAEMONS * REVISIONS * 2]; /* updates that a daemon published; see PUBLISHED */

/* whether d published the removal (v = 0) or the registration (v = 1) of revision r */
#define PUBLISHED(d, r, v) published[((d) * REVISIONS + (r)) * 2 + (v)]

inline change(v) {
	rev++;
	registered[rev] = v
}

proctype Store() {
	bool left = false, wasDown = false;
	do
	:: atomic { phase == UP && !wasDown -> wasDown = true; phase = DOWN }
	:: atomic { phase == DOWN && registered[rev] && !expired -> change(false); expired = true }
	:: atomic { phase == DOWN -> phase = GRACE }
	:: atomic { phase == GRACE && expired && alive -> change(true); expired = false }
	:: atomic { phase == GRACE && !(expired && alive) -> phase = SETTLED }
	:: atomic { phase != DOWN && !left && alive && registered[rev] -> left = true; alive = false; change(false) }
	:: atomic { phase == DOWN && !left && expired -> left = true; alive = false }
	:: atomic { phase == UP -> phase = SETTLED; break }
	:: phase == SETTLED -> break
	od
}

inline confirmRemoval(d, r) {
	assert(!alive);
	listed[d] = false;
	knownRev[d] = r;
	if
	:: tombstone[d] < r -> tombstone[d] = r
	:: else
	fi;
	PUBLISHED(d, r, 0) = true;
	unconfirmed[d] = 0 /* last, because the argument r may be unconfirmed[d] itself */
}

inline listTarget(d, r) {
	assert(tombstone[d] < r);
	listed[d] = true;
	knownRev[d] = r;
	unconfirmed[d] = 0;
	PUBLISHED(d, r, 1) = true
}

/* Table.addEntry, Table.putIfNewer. An update no newer than the first read, which did not find the
   target, is ignored; in the grace period the target is listed, with its removal unconfirmed. */
inline putIfNewer(d, r) {
	if
#ifdef NO_REVISION
	:: knownRev[d] != r -> listTarget(d, r)
#else
#ifdef NO_WHOLE
	:: r > knownRev[d] && r > unconfirmed[d] -> listTarget(d, r)
#else
	:: r > knownRev[d] && r > unconfirmed[d] && (knownRev[d] > 0 || r > firstRead[d]) -> listTarget(d, r)
	:: knownRev[d] == 0 && r <= firstRead[d] && phase != GRACE
	:: knownRev[d] == 0 && r <= firstRead[d] && phase == GRACE -> listTarget(d, r); unconfirmed[d] = firstRead[d]
#endif
#endif
	:: else
	fi
}

/* Table.removeEntry: a removal from the store, or a confirmed one from a peer */
inline removeEntry(d, r, confirmed) {
	if
	:: r <= knownRev[d]
	:: r > knownRev[d] && !listed[d] ->
#ifdef NO_REMEMBER
		if :: tombstone[d] < r -> tombstone[d] = r :: else fi
#else
		confirmRemoval(d, r)
#endif
	:: r > knownRev[d] && listed[d] && (confirmed || phase != GRACE) -> confirmRemoval(d, r)
	:: r > knownRev[d] && listed[d] && !confirmed && phase == GRACE ->
#ifdef NO_DOUBT
		confirmRemoval(d, r)
#else
		if :: unconfirmed[d] < r -> unconfirmed[d] = r :: else fi;
#ifdef NO_SILENCE
		PUBLISHED(d, r, 0) = true
#endif
#endif
	fi
}

/* a read of the store, which returns the changes since the last read */
inline readStore(d) {
	if
	:: readUpTo[d] == rev
	:: readUpTo[d] < rev && registered[rev] -> putIfNewer(d, rev)
	:: readUpTo[d] < rev && !registered[rev] && firstRead[d] == 0 && knownRev[d] == 0 /* a full read lists existing entries only */
	:: readUpTo[d] < rev && !registered[rev] && (firstRead[d] > 0 || knownRev[d] > 0) -> removeEntry(d, rev, false)
	fi;
	if :: firstRead[d] == 0 -> firstRead[d] = rev :: else fi;
	readUpTo[d] = rev;
	readAfterGrace[d] = (phase == SETTLED)
}

/* Table.Tick */
inline tick(d) {
	if
#ifndef NO_TICK
#ifdef NO_READ
	:: unconfirmed[d] > 0 && phase == SETTLED -> confirmRemoval(d, unconfirmed[d])
#else
	:: unconfirmed[d] > 0 && phase == SETTLED && readAfterGrace[d] -> confirmRemoval(d, unconfirmed[d])
#endif
#endif
	:: else
	fi
}

inline receive(d, other) {
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
	:: !PUBLISHED(other, r, v)
	:: PUBLISHED(other, r, v) && v == 1 -> putIfNewer(d, r)
	:: PUBLISHED(other, r, v) && v == 0 -> removeEntry(d, r, true)
	fi
}

proctype Daemon(byte me) {
	byte steps = 0;
	bool restarted = (me == 0);
	do
	:: atomic { steps < STEPS && phase != DOWN -> steps++; readStore(me) }
	:: atomic { steps < STEPS -> steps++; receive(me, 1 - me) }
	:: atomic { steps < STEPS -> steps++; tick(me) }
	:: atomic { steps < STEPS && !restarted -> restarted = true;
		knownRev[me] = 0; listed[me] = false; unconfirmed[me] = 0; tombstone[me] = 0; firstRead[me] = 0; readUpTo[me] = 0; readAfterGrace[me] = false }
	:: atomic { phase == SETTLED -> break }
	od;
	/* Finally: one more read, after which an unconfirmed removal is confirmed.
	   If the store's entry does not match the target, any state is accepted. */
	atomic {
		readStore(me);
		tick(me);
		assert(listed[me] == alive || alive != registered[rev])
	}
}

init {
	atomic {
		registered[1] = true;
		run Store();
		run Daemon(0);
		run Daemon(1)
	}
}
