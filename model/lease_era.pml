/*
 * Specifies the lease of lease.pml on a store that may return from an older
 * copy; see docs/model.md.
 *
 * Bound: 2 processes, TTL of 2 ticks, margin of 1 tick, RETURNS returns, TERMS
 * acquisitions in each era, one late request at a time. Time, renewals, releases
 * and restarts are not bounded: clocks are kept as the time that is left. Any
 * step may be delayed for any time.
 */
#define TTL     2
#define MARGIN  1
#define RETURNS 2
#define TERMS   2
#define NOBODY  2
#define GONE    3
#define LATE    2

#ifdef IGNORE_ERAS
#define ERA_NOT_IN_NUMBER
#define ONE_OBJECT_FOR_ALL_ERAS
#define behind(i) (false)
#else
#define behind(i) (known[i] < era)
#endif

/* base is the number before the first one of process i's era. */
#ifdef ERA_NOT_IN_NUMBER
#define base(i) 0
#else
#define base(i) (known[i] * (TERMS + 1))
#endif

#define trusts(i) (untilLeft[i] > 0 && !gone[i])

mtype = { OK, CONFLICT, LOST };

/* The era of the store, and the latest one that each process has learned of. */
unsigned era : 2;
byte known[2];

/* The lease object of the store's era; NOBODY means that there is none. What
 * becomes of the objects of earlier eras is not kept: an answer about them states
 * the later era. */
unsigned holder : 2 = NOBODY;
byte fencing;
bool released = true;

/* current[i] says that the object's version is still the one that i has read
 * or written; unseen[i] that i has not received its renewal value. */
bool current[3];
bool unseen[2] = true;

/* The clocks of process i: the time until its lease ends, the time before which it
 * does not acquire a lease that was not released, and the time since it first sent
 * its update. */
byte untilLeft[2];
byte waitLeft[2];
byte age[2];
bool sent[2];

/* gone[i] says that process i does not trust its lease; pass[i] that it trusted one
 * of an earlier era when it learned of the present one. */
bool gone[2] = true;
bool pass[2];

/* The highest number that a process has trusted, and that process. */
byte highest;
unsigned owner : 2 = NOBODY;

/* A request whose answer was given up and which may still take effect. */
bool lateWaits, lateReleased;
unsigned lateHolder : 2;
byte lateFencing;

#ifdef ONE_OBJECT_FOR_ALL_ERAS
/* The copy from which the store returns. */
unsigned copyHolder : 2 = NOBODY;
byte copyFencing;
bool copyReleased = true;
#endif

inline store(toHolder, toFencing, toReleased) {
	holder = toHolder; fencing = toFencing; released = toReleased;
	current[0] = false; current[1] = false; current[LATE] = false;
	unseen[0] = true; unseen[1] = true
}

inline dropLate() {
	lateWaits = false; lateHolder = 0; lateFencing = 0; lateReleased = false; current[LATE] = false
}

inline forget() {
	sent[id] = false; age[id] = 0; next = 0
}

/* send keeps the time of the first update on a version. */
inline send() {
	if
#ifndef COUNT_FROM_LAST
	:: sent[id]
#endif
	:: else -> age[id] = 0
	fi;
	sent[id] = true
}

/* put updates the object of the era that the process knows, on the version last
 * read. If the answer is lost, the request takes effect at once, later, or never. */
inline put(putReleased) {
	if
	:: atomic { !behind(id) && current[id] ->
		store(id, next, putReleased); current[id] = true; unseen[id] = false; outcome = OK }
	:: atomic { !behind(id) && !current[id] -> outcome = CONFLICT }
	:: atomic { !behind(id) && !lateWaits ->
		lateWaits = true; lateHolder = id; lateFencing = next; lateReleased = putReleased;
		current[LATE] = current[id]; outcome = LOST }
	/* The object of an earlier era may accept the update; the answer states the later era. */
#ifdef TRUST_ACROSS_ERAS
	:: atomic { behind(id) -> outcome = OK }
#else
	:: atomic { behind(id) -> outcome = CONFLICT }
#endif
	fi
}

/* trust counts the TTL from before the first update that may have taken effect. */
inline trust() {
#ifdef COUNT_FROM_ANSWER
	untilLeft[id] = TTL - MARGIN;
#else
	untilLeft[id] = (age[id] < TTL - MARGIN -> TTL - MARGIN - age[id] : 0);
#endif
	gone[id] = (untilLeft[id] == 0);
	if
	:: !gone[id] ->
		/* No two processes trust the lease. */
		assert(!trusts(1 - id));
		/* A number that is acquired is above all that were trusted before. */
		assert(next > highest || next == highest && owner == id);
		highest = next; owner = id
	:: else
	fi;
	forget()
}

/* confirmed ends a put of a held lease. Another call of the process may have told it
 * of a later era before the answer comes. */
inline confirmed() {
	if
	:: atomic { outcome == OK -> outcome = 0;
		seenHolder = id; seenFencing = next; seenReleased = false;
#ifndef PASS_AFTER_RELEASE
		pass[id] = false;
#endif
		trust() }
	:: atomic { outcome == OK && behind(id) -> outcome = 0; goto read }
	:: atomic { outcome != OK -> outcome = 0; goto read }
	fi
}

/* learn takes over the era of an answer. All leases of earlier eras have lapsed a
 * TTL later; those of other processes now, if this process may trust its own. */
inline learn() {
#ifdef NO_WAIT_OF_LAST_HOLDER
	pass[id] = (seenHolder == id && !seenReleased);
#else
#ifdef PASS_OUTLIVES_LEASE
	pass[id] = (trusts(id) || pass[id] && seenHolder == NOBODY);
#else
#ifdef PASS_AFTER_RELEASE
	pass[id] = (trusts(id) || pass[id] && untilLeft[id] > 0);
#else
	pass[id] = (trusts(id) || pass[id] && untilLeft[id] > 0 && seenHolder == NOBODY);
#endif
#endif
#endif
	if
	:: pass[id] -> waitLeft[id] = 0
#ifdef WAIT_FOR_FIRST_ERA_ONLY
	:: !pass[id] && known[id] > 0
#endif
#ifndef NO_ERA_WAIT
	:: else -> waitLeft[id] = TTL
#else
	:: else -> waitLeft[id] = 0
#endif
	fi;
	known[id] = era; gone[id] = true; forget();
	seenHolder = NOBODY; seenFencing = 0; seenReleased = true;
	current[id] = false; unseen[id] = true
}

proctype Process(byte id) {
	unsigned seenHolder : 2 = NOBODY;
	byte next, seenFencing;
	bool seenReleased = true;
	mtype outcome;
read:
	atomic {
		if
		:: behind(id) -> learn(); goto read
		:: else
		fi;
		if
		:: !current[id] && sent[id] && holder == id && !released && fencing == next && unseen[id] ->
			/* The lost update took effect. */
			waitLeft[id] = 0; trust()
		:: else ->
			if
			:: !current[id] -> forget()
			:: else
			fi;
			if
#ifdef KEEP_FIRST_SEEN
			:: unseen[id] && holder != NOBODY && holder != seenHolder -> waitLeft[id] = TTL
#else
			:: unseen[id] && holder != NOBODY -> waitLeft[id] = TTL
#endif
			:: else
			fi;
			if
			:: holder != id || released -> gone[id] = true
			:: else
			fi
		fi;
#ifndef PASS_AFTER_RELEASE
		if
		:: holder != NOBODY -> pass[id] = false
		:: else
		fi;
#endif
		seenHolder = holder; seenFencing = fencing; seenReleased = released;
		unseen[id] = false; current[id] = true
	}
	do
	:: goto read
	:: atomic { seenHolder == id && !seenReleased -> next = seenFencing; send() }
		put(false);
		confirmed()
	:: atomic { (seenHolder != id || seenReleased) && seenFencing < base(id) + TERMS &&
#ifndef NO_TTL_WAIT
		(seenHolder != NOBODY && seenReleased || waitLeft[id] == 0) &&
#endif
		true ->
#ifdef FENCING_STAYS
		next = (seenFencing > base(id) -> seenFencing : base(id) + 1);
#else
		next = (seenFencing > base(id) -> seenFencing : base(id)) + 1;
#endif
		send() }
		put(false);
		confirmed()
	:: atomic { seenHolder == id && !seenReleased && trusts(id) ->
		next = seenFencing;
#ifndef TRUST_WHILE_RELEASING
		gone[id] = true;
#endif
		sent[id] = false; age[id] = 0 }
		put(true);
		atomic { outcome = 0; goto read }
	/* A restart; the new process has another name. */
	:: atomic { true ->
		untilLeft[id] = 0; waitLeft[id] = 0; gone[id] = true; pass[id] = false; known[id] = 0; forget();
		owner = (owner == id -> GONE : owner);
		holder = (holder == id -> GONE : holder);
		lateHolder = (lateWaits && lateHolder == id -> GONE : lateHolder);
#ifdef ONE_OBJECT_FOR_ALL_ERAS
		copyHolder = (copyHolder == id -> GONE : copyHolder);
#endif
		seenHolder = NOBODY; seenFencing = 0; seenReleased = true;
		current[id] = false; unseen[id] = true;
		goto read }
	od
}

inline tick(i) {
	waitLeft[i] = (waitLeft[i] > 0 -> waitLeft[i] - 1 : 0);
	age[i] = (sent[i] && age[i] < TTL -> age[i] + 1 : age[i]);
	untilLeft[i] = (untilLeft[i] > 0 -> untilLeft[i] - 1 : 0);
	if
	:: untilLeft[i] == 0 -> gone[i] = true;
#ifndef PASS_OUTLIVES_LEASE
		pass[i] = false
#endif
	:: else
	fi
}

proctype Clock() {
end:	do
	:: atomic { true -> tick(0); tick(1) }
	od
}

/* Network lets late requests take effect or fail. */
proctype Network() {
end:	do
	:: atomic { lateWaits ->
		if
		:: current[LATE] -> store(lateHolder, lateFencing, lateReleased)
		:: else
		fi;
		dropLate() }
	od
}

#ifdef ONE_OBJECT_FOR_ALL_ERAS
/* Return takes a copy and returns from it. A condition on a version of an earlier
 * era may hold again. */
proctype Return() {
end:	do
	:: atomic { copyHolder = holder; copyFencing = fencing; copyReleased = released }
	:: atomic { era < RETURNS -> era++;
		store(copyHolder, copyFencing, copyReleased);
		if
		:: current[0] = true
		:: true
		fi;
		if
		:: current[1] = true
		:: true
		fi;
		if
		:: current[LATE] = lateWaits
		:: true
		fi }
	od
}
#else
/* Return begins an era. Its object is in no copy, and late requests of earlier eras
 * change an object that nobody reads. */
proctype Return() {
end:	do
	:: atomic { era < RETURNS -> era++; store(NOBODY, 0, true); dropLate() }
	od
}
#endif

init {
	atomic { run Process(0); run Process(1); run Clock(); run Network(); run Return() }
}
