/*
 * Propagation of settings from the store and between daemons as differences: Snapshot of
 * core/settings, updateSettings of node/cluster.
 *
 * The model has a document of two parts with three revisions, whose parts may change and
 * change back, and two daemons, which read some of the revisions from the store and request
 * from each other the changes since their own revision. Answers may be lost, or arrive after
 * the daemon has read the store or restarted, and one of them has a corrupted part. Once the
 * last revision is published (settled), daemon 1 reaches only its peer.
 *
 * The content in force always matches its revision, and a revision never goes back while a
 * daemon runs; eventually both daemons have the newest revision.
 *
 * The rule that refuses a difference from a revision newer than the one in force has no
 * switch: such a difference would fail the check of its digest too; the rule only saves
 * computing the digest before the full settings are requested.
 *
 * Not in the model: the validation of a document, which is the same at all daemons, and
 * deleted parts.
 *
 * Switches, each with the rule that it removes:
 *   NO_OLDER   a revision that is not newer than the one in force changes nothing
 *   NO_DIGEST  a difference that does not yield its sender's content is refused
 *   NO_WHOLE   after such a refusal the full settings are requested
 */

#define DAEMONS 2
#define NEWEST 3
#define READS 2          /* reads of the store by each daemon before the store has settled */
#define REQUESTS 1       /* requests to the peer before that */
#define FINAL_REQUESTS 2 /* and after: a difference, and the full settings if that is refused */

byte published = 0;
bit content[2 * (NEWEST + 1)]; /* the parts of each revision */
bool settled = false;

byte rev[DAEMONS]; /* the revision in force; 0 if the daemon has none */
bit part[2 * DAEMONS];
byte changed[2 * DAEMONS]; /* the revision at which the daemon saw the part change */
bool needFull[DAEMONS];    /* the next request asks for the full settings */
bool corrupted = false;
byte restarts = 0; /* restarts of daemon 1 */

/* since, revision, then for each part its revision (0: not included) and value, then the content */
chan answers[DAEMONS] = [1] of { byte, byte, byte, bit, byte, bit, bit, bit };

#define CONTENT(r, p) content[2 * (r) + p]
#define PART(d, p) part[2 * (d) + p]
#define CHANGED(d, p) changed[2 * (d) + p]

inline checkContent(d) {
	assert(rev[d] == 0 || (PART(d, 0) == CONTENT(rev[d], 0) && PART(d, 1) == CONTENT(rev[d], 1)))
}

/* A daemon reads the newest revision in full. */
inline readStore(d) {
	if
	:: published > rev[d] ->
		if
		:: rev[d] == 0 || PART(d, 0) != CONTENT(published, 0) -> CHANGED(d, 0) = published
		:: else -> skip
		fi;
		if
		:: rev[d] == 0 || PART(d, 1) != CONTENT(published, 1) -> CHANGED(d, 1) = published
		:: else -> skip
		fi;
		PART(d, 0) = CONTENT(published, 0);
		PART(d, 1) = CONTENT(published, 1);
		rev[d] = published
	:: else -> skip
	fi
}

/* Daemon d sends a request to its peer; the peer answers in the same step. */
inline requestChanges(d) {
	since = (needFull[d] -> 0 : rev[d]);
	needFull[d] = false;
	if
	:: atomic { rev[1 - d] > since && nfull(answers[d]) ->
		answers[d] ! since, rev[1 - d],
			(CHANGED(1 - d, 0) > since -> CHANGED(1 - d, 0) : 0), PART(1 - d, 0),
			(CHANGED(1 - d, 1) > since -> CHANGED(1 - d, 1) : 0), PART(1 - d, 1),
			PART(1 - d, 0), PART(1 - d, 1) }
	:: rev[1 - d] <= since || full(answers[d]) -> skip
	fi
}

/* mergePart chooses between a part of an answer and the one in force; for a difference,
   the newer of the two. */
inline mergePart(p, r, v) {
	if
	:: r > 0 && v != PART(me, p) && (since == 0 || CHANGED(me, p) <= r) -> merged[p] = v; mergedAt[p] = r
	:: r > 0 && rev[me] == 0 -> merged[p] = v; mergedAt[p] = r
	:: else -> merged[p] = PART(me, p); mergedAt[p] = CHANGED(me, p)
	fi
}

inline apply() {
	answers[me] ? since, toRev, r0, v0, r1, v1, c0, c1;
	if
	:: !corrupted && !settled -> corrupted = true; v0 = 1 - v0
	:: true -> skip
	fi;
	mergePart(0, r0, v0);
	mergePart(1, r1, v1);
	if
#ifndef NO_OLDER
	:: toRev <= rev[me] -> skip
#endif
	:: since > rev[me] -> skip
	:: else ->
		if
#ifndef NO_DIGEST
		:: merged[0] != c0 || merged[1] != c1 ->
#ifndef NO_WHOLE
			needFull[me] = true
#else
			skip
#endif
#endif
		:: else ->
			assert(toRev >= rev[me]);
			PART(me, 0) = merged[0]; CHANGED(me, 0) = mergedAt[0];
			PART(me, 1) = merged[1]; CHANGED(me, 1) = mergedAt[1];
			rev[me] = toRev;
			checkContent(me)
		fi
	fi
}

proctype Daemon(byte me) {
	byte reads = 0, requests = 0, since, toRev, r0, r1;
	bit v0, v1, c0, c1;
	bit merged[2];
	byte mergedAt[2];
	do
	:: atomic { !settled && reads < READS -> reads++; readStore(me); checkContent(me) }
	:: atomic { !settled && requests < REQUESTS -> requests++; requestChanges(me) }
	:: atomic { !settled && nempty(answers[me]) -> answers[me] ? _, _, _, _, _, _, _, _ }  /* the answer is lost */
	:: atomic { nempty(answers[me]) -> apply() }
	:: atomic { me == 1 && restarts == 0 && !settled -> restarts = 1; rev[1] = 0; needFull[1] = false; PART(1, 0) = 0; PART(1, 1) = 0; CHANGED(1, 0) = 0; CHANGED(1, 1) = 0 }
	:: atomic { settled -> requests = 0; reads = 0; break }
	od;
	atomic {
		if
		:: me == 0 -> readStore(0); checkContent(0)
		:: else -> skip
		fi
	};
	do
	:: atomic { rev[me] == NEWEST && empty(answers[me]) -> break }
	:: atomic { nempty(answers[me]) -> apply() }
	/* A daemon that lacks the newest revision after this many requests never terminates. */
	:: atomic { rev[0] == NEWEST && rev[me] < NEWEST && requests < FINAL_REQUESTS && empty(answers[me]) -> requests++; requestChanges(me) }
	od
}

init {
	atomic {
		run Daemon(0);
		run Daemon(1)
	};
	do
	:: atomic { published < NEWEST ->
		published++;
		if
		:: CONTENT(published, 0) = 0
		:: CONTENT(published, 0) = 1
		fi;
		if
		:: CONTENT(published, 1) = 0
		:: CONTENT(published, 1) = 1
		fi }
	:: atomic { published == NEWEST -> settled = true; break }
	od
}
