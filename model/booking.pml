/*
 * Specifies the record of one booking key in one partition; see docs/model.md.
 *
 * Bound: 2 entries with 2 attempts each, one process that seals, one segment,
 * and one late request at a time. Any step may be delayed for any time.
 */
#define ENTRIES 2
#define ATTEMPTS 2

mtype = { OK, CONFLICT, LOST };

#define NONE     0
#define CLAIMED  1
#define DONE     2
#define RELEASED 3

/* A record is a state and the attempt that made it. */
typedef Record { byte state; byte attempt }

/* The head object: the key's record, and whether the segment is listed. */
Record head;
bool listed;

/* current[i] says that the head's version is still the one that i has read.
 * It stands for the version number: each change of the head clears it. */
#define SEALER 2
#define LATE   3
bool current[4];

/* The segment object, which never changes once it exists. */
Record segment;

/* runs counts how often the key's call was sent to an endpoint. */
byte runs;

/* A request whose answer was given up and which may still take effect. */
bool lateWaits, lateListed;
Record late;

#ifdef NO_VERSION_CHECK
#define VERSION_HOLDS(i) true
#else
#define VERSION_HOLDS(i) current[i]
#endif

inline store(toState, toAttempt, toListed) {
	head.state = toState; head.attempt = toAttempt; listed = toListed;
	current[0] = false; current[1] = false; current[SEALER] = false; current[LATE] = false
}

/* put updates the head on the version read. If the answer is lost, the
 * request takes effect at once, later, or never. */
inline put(putState) {
	if
	:: atomic { VERSION_HOLDS(id) -> store(putState, attempt, seenListed); outcome = OK }
	:: atomic { !VERSION_HOLDS(id) -> outcome = CONFLICT }
	:: atomic { !lateWaits ->
		lateWaits = true; lateListed = seenListed;
		late.state = putState; late.attempt = attempt;
		current[LATE] = current[id];
		outcome = LOST }
	fi
}

/* read copies the head and finds the key's record there or in the listed
 * segment. The segment cannot change, so both reads count as one step. */
inline read() {
	atomic {
		current[id] = true; seenListed = listed;
		seen.state = head.state; seen.attempt = head.attempt;
		if
#ifndef NO_SEGMENT_READ
		:: listed && head.state == NONE -> seen.state = segment.state; seen.attempt = segment.attempt
#endif
		:: else
		fi
	}
}

proctype Entry(byte id) {
	byte n, attempt;
	bool seenListed;
	Record seen;
	mtype outcome;
	do
	:: n == ATTEMPTS -> break
	:: n < ATTEMPTS ->
		n++; attempt = id * ATTEMPTS + n;
claim:
		read();
		if
		:: seen.state == CLAIMED && seen.attempt == attempt -> goto claimed
		:: seen.state == RELEASED && seen.attempt == attempt -> goto next
		:: seen.state == NONE || (seen.state == RELEASED && seen.attempt != attempt) ||
#ifdef CLAIM_EXPIRES
			(seen.state == CLAIMED && seen.attempt != attempt) ||
#endif
			false ->
			put(CLAIMED);
			if
			:: outcome == OK -> goto claimed
#ifdef SEND_AFTER_LOST_ANSWER
			:: outcome == LOST -> goto claimed
#endif
			:: outcome != OK -> goto claim
			:: outcome == LOST -> goto release
			fi
		:: else -> goto next
		fi;
claimed:
		if
		:: goto release
		:: runs++; assert(runs <= 1)
		:: goto next /* the entry dies or never sends */
		fi;
finish:
		if
		:: goto next
#ifdef RELEASE_AFTER_SENDING
		:: goto release
#endif
		:: read();
			if
			:: seen.state == CLAIMED && seen.attempt == attempt ->
				put(DONE);
				if
				:: outcome == OK -> goto next
				:: else -> goto finish
				fi
			:: else ->
				/* A sent call's record never vanishes or changes hands. */
				assert(seen.state == DONE && seen.attempt == attempt);
				goto next
			fi
		fi;
release:
		read();
		if
		:: (seen.state == CLAIMED && seen.attempt == attempt) || seen.state == NONE ||
			(seen.state == RELEASED && seen.attempt != attempt) ||
#ifdef RELEASE_BY_ANYONE
			seen.state == CLAIMED ||
#endif
			false ->
			put(RELEASED);
			if
			:: outcome == OK
			:: outcome != OK -> goto release
			:: outcome == LOST
			fi
		:: else
		fi;
next:
		atomic { seen.state = NONE; seen.attempt = 0; seenListed = false; outcome = 0; current[id] = false }
	od
}

/* Sealer creates the segment from a head that it read and lists it later,
 * when the head may have changed. Retries stand for a second sealer that finds
 * the segment of the first. */
proctype Sealer() {
	Record seen;
	if
	:: atomic { head.state != NONE -> segment.state = head.state; segment.attempt = head.attempt }
	:: goto end
	fi;
	do
	:: atomic { current[SEALER] = true; seen.state = head.state; seen.attempt = head.attempt;
		if
#ifndef SEAL_DROPS_CHANGED
		:: seen.state != segment.state || seen.attempt != segment.attempt
#endif
		:: else -> seen.state = NONE; seen.attempt = 0
		fi }
		if
		:: atomic { VERSION_HOLDS(SEALER) -> store(seen.state, seen.attempt, true) }
			break
		:: atomic { !VERSION_HOLDS(SEALER) -> skip }
		fi
	:: break
	od;
end:	skip
}

/* Network lets late requests take effect or fail. */
proctype Network() {
end:	do
	:: atomic { lateWaits ->
		if
		:: VERSION_HOLDS(LATE) -> store(late.state, late.attempt, lateListed)
		:: else
		fi;
		lateWaits = false; late.state = NONE; late.attempt = 0; lateListed = false }
	od
}

init {
	atomic { run Entry(0); run Entry(1); run Sealer(); run Network() }
}
