/*
 * Settings that spread from the store and from daemon to daemon as differences: Snapshot of
 * core/settings, catchUp of node/cluster.
 *
 * A text of two parts with three revisions, whose parts may change and change back; two
 * daemons, which read some of the revisions from the store, and ask each other for what
 * changed since their own. Answers are lost, come late, after the daemon has read the store or
 * started anew, and one of them has a part that is not what was sent. Once the store is at
 * rest, daemon 1 reaches its peer alone.
 *
 * What is in force has always the content of its revision, and a revision never goes back
 * within a daemon's life; in the end both have the newest.
 *
 * That a difference from a newer revision than the one in force is refused has no switch: its
 * digest would not fit either, and asking for the whole at once saves the look.
 *
 * Not in the model: the checks of a text, which are the same everywhere, and deleted parts.
 *
 * Switches that remove a rule:
 *   NO_OLDER   what is no newer than the revision in force changes nothing
 *   NO_DIGEST  what does not lead to its sender's content is refused
 *   NO_WHOLE   where a difference was refused for that, the whole is asked for
 */

#define DAEMONS 2
#define NEWEST 3
#define READS 2      /* reads of the store by each daemon before it is at rest */
#define ASKS 1       /* questions to the peer before that */
#define LAST_ASKS 2  /* and after: a difference, and the whole where that is refused */

byte published = 0;
bit text[2 * (NEWEST + 1)];    /* the parts of each revision */
bool rest = false;

byte rev[DAEMONS];             /* in force; 0 is a daemon that has none */
bit part[2 * DAEMONS];
byte changed[2 * DAEMONS];     /* the revision at which the daemon saw the part change */
bool whole[DAEMONS];           /* the next question asks for the whole */
bool garbled = false;
byte life = 0;                 /* starts of daemon 1 */

/* since, revision, then for each part its revision (0: not in it) and value, then the content */
chan answers[DAEMONS] = [1] of { byte, byte, byte, bit, byte, bit, bit, bit };

#define TEXT(r, p) text[2 * (r) + p]
#define PART(d, p) part[2 * (d) + p]
#define CHANGED(d, p) changed[2 * (d) + p]

inline inForce(d) {
	assert(rev[d] == 0 || (PART(d, 0) == TEXT(rev[d], 0) && PART(d, 1) == TEXT(rev[d], 1)))
}

/* A daemon reads the whole of the newest revision. */
inline read(d) {
	if
	:: published > rev[d] ->
		if
		:: rev[d] == 0 || PART(d, 0) != TEXT(published, 0) -> CHANGED(d, 0) = published
		:: else -> skip
		fi;
		if
		:: rev[d] == 0 || PART(d, 1) != TEXT(published, 1) -> CHANGED(d, 1) = published
		:: else -> skip
		fi;
		PART(d, 0) = TEXT(published, 0);
		PART(d, 1) = TEXT(published, 1);
		rev[d] = published
	:: else -> skip
	fi
}

/* Daemon d asks its peer, whose answer is on its way at once. */
inline ask(d) {
	since = (whole[d] -> 0 : rev[d]);
	whole[d] = false;
	if
	:: atomic { rev[1 - d] > since && nfull(answers[d]) ->
		answers[d] ! since, rev[1 - d],
			(CHANGED(1 - d, 0) > since -> CHANGED(1 - d, 0) : 0), PART(1 - d, 0),
			(CHANGED(1 - d, 1) > since -> CHANGED(1 - d, 1) : 0), PART(1 - d, 1),
			PART(1 - d, 0), PART(1 - d, 1) }
	:: rev[1 - d] <= since || full(answers[d]) -> skip
	fi
}

/* take puts one part of an answer over the one in force: of a difference, the newer one. */
inline take(p, r, v) {
	if
	:: r > 0 && v != PART(me, p) && (since == 0 || CHANGED(me, p) <= r) -> next[p] = v; at[p] = r
	:: r > 0 && rev[me] == 0 -> next[p] = v; at[p] = r
	:: else -> next[p] = PART(me, p); at[p] = CHANGED(me, p)
	fi
}

inline apply() {
	answers[me] ? since, to, r0, v0, r1, v1, w0, w1;
	if
	:: !garbled && !rest -> garbled = true; v0 = 1 - v0
	:: true -> skip
	fi;
	take(0, r0, v0);
	take(1, r1, v1);
	if
#ifndef NO_OLDER
	:: to <= rev[me] -> skip
#endif
	:: since > rev[me] -> skip
	:: else ->
		if
#ifndef NO_DIGEST
		:: next[0] != w0 || next[1] != w1 ->
#ifndef NO_WHOLE
			whole[me] = true
#else
			skip
#endif
#endif
		:: else ->
			assert(to >= rev[me]);
			PART(me, 0) = next[0]; CHANGED(me, 0) = at[0];
			PART(me, 1) = next[1]; CHANGED(me, 1) = at[1];
			rev[me] = to;
			inForce(me)
		fi
	fi
}

proctype Daemon(byte me) {
	byte reads = 0, asks = 0, since, to, r0, r1;
	bit v0, v1, w0, w1;
	bit next[2];
	byte at[2];
	do
	:: atomic { !rest && reads < READS -> reads++; read(me); inForce(me) }
	:: atomic { !rest && asks < ASKS -> asks++; ask(me) }
	:: atomic { !rest && nempty(answers[me]) -> answers[me] ? _, _, _, _, _, _, _, _ }  /* it is lost */
	:: atomic { nempty(answers[me]) -> apply() }
	:: atomic { me == 1 && life == 0 && !rest -> life = 1; rev[1] = 0; whole[1] = false; PART(1, 0) = 0; PART(1, 1) = 0; CHANGED(1, 0) = 0; CHANGED(1, 1) = 0 }
	:: atomic { rest -> asks = 0; reads = 0; break }
	od;
	atomic {
		if
		:: me == 0 -> read(0); inForce(0)
		:: else -> skip
		fi
	};
	do
	:: atomic { rev[me] == NEWEST && empty(answers[me]) -> break }
	:: atomic { nempty(answers[me]) -> apply() }
	/* Whoever does not have the newest after so many questions never comes to its end. */
	:: atomic { rev[0] == NEWEST && rev[me] < NEWEST && asks < LAST_ASKS && empty(answers[me]) -> asks++; ask(me) }
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
		:: TEXT(published, 0) = 0
		:: TEXT(published, 0) = 1
		fi;
		if
		:: TEXT(published, 1) = 0
		:: TEXT(published, 1) = 1
		fi }
	:: atomic { published == NEWEST -> rest = true; break }
	od
}
