/*
 * Specifies the record of one booking key in one partition; see docs/model.md.
 *
 * The log has one slot, so that each batch needs a checkpoint of the one before.
 * Bound: 2 entries with 3 attempts in all, 4 batches, one process that seals,
 * one segment, and one late batch at a time. Any step may be delayed for any time.
 */
#define BATCHES 4

mtype = { OK, CONFLICT, LOST };

#define NONE     0
#define CLAIMED  1
#define DONE     2
#define RELEASED 3

/* A record is a state and the attempt that made it. */
typedef Record { byte state; byte attempt }

/* The head object: the key's record, whether the segment is listed, and the
 * number of the first batch that the head does not include. */
Record head;
bool listed;
byte headNext = 1;

/* The slot of the log: its batch's number (0: empty), and the key's record in
 * it (NONE: the batch has none). */
byte slotNumber;
Record slot;

/* headCurrent[i] and slotCurrent[i] say that the object's version is still the
 * one that i has read. They stand for version numbers: each change clears them. */
#define SEALER 2
#define LATE   3
bool headCurrent[4];
bool slotCurrent[4];

/* The segment object, which never changes once it exists. */
Record segment;

/* runs counts how often the key's call was sent to an endpoint. */
byte runs;

/* A batch whose answer was given up and which may still take effect. */
bool lateWaits;
byte lateNext;
Record late;

#ifdef NO_VERSION_CHECK
#define SLOT_HOLDS(i) true
#else
#define SLOT_HOLDS(i) slotCurrent[i]
#endif
#ifdef NO_HEAD_VERSION_CHECK
#define HEAD_HOLDS(i) true
#else
#define HEAD_HOLDS(i) headCurrent[i]
#endif

#define CLEAR(flags) flags[0] = false; flags[1] = false; flags[SEALER] = false; flags[LATE] = false

inline storeHead(toState, toAttempt, toListed, toNext) {
	head.state = toState; head.attempt = toAttempt; listed = toListed; headNext = toNext;
	CLEAR(headCurrent)
}

inline storeSlot(toState, toAttempt, toNumber) {
	slot.state = toState; slot.attempt = toAttempt; slotNumber = toNumber;
	CLEAR(slotCurrent)
}

/* readLog copies the head and applies the batch that follows it, if there is
 * one. recent is then the key's record outside the segment, position the number of
 * the next batch, and covered says that the head includes the slot's batch. */
inline readLog() {
	do
	:: atomic {
		headCurrent[id] = true; seenListed = listed; position = headNext;
		recent.state = head.state; recent.attempt = head.attempt }
		atomic {
			if
			:: slotNumber == position ->
				if
				:: slot.state != NONE -> recent.state = slot.state; recent.attempt = slot.attempt
				:: else
				fi;
				slotCurrent[id] = true; covered = false; position++; break
			:: slotNumber + 1 == position -> slotCurrent[id] = true; covered = true; break
			:: slotNumber > position ->
				/* The head has passed the one that was read, which is read again. */
				assert(headNext > position)
#ifdef NO_NUMBER_CHECK
				; slotCurrent[id] = true; covered = true; break
#endif
			fi
		}
	od
}

/* read finds the key's record in the log, the head or the listed segment. The
 * segment cannot change, so reading it is not a step of its own. */
inline read() {
	readLog();
	atomic {
		seen.state = recent.state; seen.attempt = recent.attempt;
		if
#ifndef NO_SEGMENT_READ
		:: seenListed && seen.state == NONE -> seen.state = segment.state; seen.attempt = segment.attempt
#endif
		:: else
		fi
	}
}

/* forget ends the use of what was read. */
inline forget() {
	recent.state = NONE; recent.attempt = 0; seen.state = NONE; seen.attempt = 0; position = 0; seenListed = false; covered = false;
	headCurrent[id] = false; slotCurrent[id] = false
}

/* put writes the next batch over the one in the slot on the version read, after
 * a checkpoint if the head does not include that one. If the answer of a batch is
 * lost, it takes effect at once, later, or never. A checkpoint that takes effect
 * late is that of a process that was paused before it. */
inline put(putState) {
	if
	:: position > BATCHES -> goto next /* the bound is reached and the process ends */
	:: position <= BATCHES
	fi;
	if
#ifndef REPLACE_UNCOVERED
	:: atomic { !covered && HEAD_HOLDS(id) ->
		storeHead(recent.state, recent.attempt, seenListed, position);
		headCurrent[id] = true; covered = true; outcome = 0 }
	:: atomic { !covered && !HEAD_HOLDS(id) -> outcome = CONFLICT }
	:: covered -> outcome = 0
#else
	:: outcome = 0
#endif
	fi;
	if
	:: atomic { outcome == CONFLICT -> forget() }
	:: atomic { outcome == 0 && SLOT_HOLDS(id) -> storeSlot(putState, attempt, position); forget(); outcome = OK }
	:: atomic { outcome == 0 && !SLOT_HOLDS(id) -> forget(); outcome = CONFLICT }
	:: atomic { outcome == 0 && !lateWaits ->
		lateWaits = true; lateNext = position;
		late.state = putState; late.attempt = attempt;
		slotCurrent[LATE] = slotCurrent[id]; forget(); outcome = LOST }
	fi
}

proctype Entry(byte id) {
	byte n, attempt, position;
	bool seenListed, covered;
	Record recent, seen;
	mtype outcome;
	do
	:: n == 2 - id -> break
	:: n < 2 - id ->
		n++; attempt = id * 2 + n;
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
		:: atomic { forget() }; goto release
		:: atomic { runs++; assert(runs <= 1); forget() }
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
		atomic { forget(); outcome = 0 }
	od
}

/* Sealer creates the segment from the state that it read and lists it with a
 * checkpoint, then or after it has read a later state. */
proctype Sealer(byte id) {
	byte position;
	bool seenListed, covered;
	Record recent, seen;
	mtype outcome;
	do
	:: readLog();
		if
		:: atomic { !seenListed && segment.state == NONE && recent.state != NONE ->
			segment.state = recent.state; segment.attempt = recent.attempt }
		:: else
		fi;
		if
		:: atomic { !seenListed && segment.state != NONE && HEAD_HOLDS(id) ->
			if
#ifndef SEAL_DROPS_CHANGED
			:: recent.state != segment.state || recent.attempt != segment.attempt
#endif
			:: else -> recent.state = NONE; recent.attempt = 0
			fi;
			storeHead(recent.state, recent.attempt, true, position) }
			break
		:: seenListed -> break
		:: !seenListed
		fi;
		atomic { forget() }
	:: break
	od;
	atomic { forget() }
}

/* Network lets late requests take effect or fail. */
proctype Network() {
end:	do
	:: atomic { lateWaits ->
		if
		:: SLOT_HOLDS(LATE) -> storeSlot(late.state, late.attempt, lateNext)
		:: else
		fi;
		lateWaits = false; lateNext = 0; late.state = NONE; late.attempt = 0; slotCurrent[LATE] = false }
	od
}

init {
	atomic { run Entry(0); run Entry(1); run Sealer(SEALER); run Network() }
}
