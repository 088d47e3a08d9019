/*
 * Specifies a lease with fencing and the endpoint that gets orders under it;
 * see docs/model.md.
 *
 * Bound: 2 processes, TTL of 2 ticks, margin of 1 tick, LIMIT ticks and
 * TERMS acquisitions in all, one late request at a time. Any step may be delayed for any time.
 */
#define TTL    2
#define MARGIN 1
#define LIMIT  3
#define TERMS  2
#define NOBODY 2
#define LATE   2

mtype = { OK, CONFLICT, LOST };

byte now;

/* The lease object. renewal stands for a value that differs at each renewal. */
byte holder = NOBODY;
byte fencing;
bool released = true;

/* current[i] says that the object's version is still the one that i has read
 * or written; unseen[i] that i has not received its renewal value. */
bool current[3];
bool unseen[2] = true;

/* until[i] is when process i stops trusting its lease, trusted[i] its fencing number. */
byte until[2];
byte trusted[2];

/* A request whose answer was given up and which may still take effect. */
bool lateWaits, lateReleased;
byte lateHolder, lateFencing;

/* The fencing number of the order in force at the endpoint. */
byte inForce;

inline store(toHolder, toFencing, toReleased) {
	holder = toHolder; fencing = toFencing; released = toReleased;
	current[0] = false; current[1] = false; current[LATE] = false;
	unseen[0] = true; unseen[1] = true
}

/* put updates the object on the version last read. If the answer is lost, the
 * request takes effect at once, later, or never. */
inline put(putReleased) {
	if
	:: atomic { current[id] -> store(id, next, putReleased); current[id] = true; unseen[id] = false;
		seenHolder = id; seenFencing = next; seenReleased = putReleased; outcome = OK }
	:: atomic { !current[id] -> outcome = CONFLICT }
	:: atomic { !lateWaits ->
		lateWaits = true; lateHolder = id; lateFencing = next; lateReleased = putReleased;
		current[LATE] = current[id]; outcome = LOST }
	fi
}

/* trust counts the TTL from before the first update that may have taken effect. */
inline trust() {
#ifdef COUNT_FROM_ANSWER
	until[id] = now + TTL - MARGIN;
#else
	until[id] = sentAt + TTL - MARGIN;
#endif
	trusted[id] = next; sent = false; sentAt = 0; next = 0
}

proctype Process(byte id) {
	byte firstSeen, sentAt, next, order, seenHolder, seenFencing;
	bool sent, seenReleased;
	mtype outcome;
read:
	atomic {
		seenHolder = holder; seenFencing = fencing; seenReleased = released;
		if
		:: !current[id] && sent && holder == id && !released && fencing == next && unseen[id] ->
			/* The lost update took effect. */
			unseen[id] = false; current[id] = true; firstSeen = 0; outcome = 0;
			trust()
		:: else ->
			if
			:: !current[id] -> sent = false; sentAt = 0; next = 0
			:: else
			fi;
			if
#ifdef KEEP_FIRST_SEEN
			:: firstSeen == 0 -> firstSeen = now
			:: else
#else
			:: unseen[id] -> firstSeen = now
			:: else
#endif
			fi;
			unseen[id] = false; current[id] = true; outcome = 0;
			if
			:: holder != id || released -> until[id] = 0
			:: else
			fi
		fi
	}
	do
	:: goto read
	:: now >= LIMIT -> break
	:: atomic { seenHolder == id && !seenReleased ->
		next = seenFencing;
		if
#ifndef COUNT_FROM_LAST
		:: sent
#endif
		:: else -> sentAt = now
		fi;
		sent = true }
		put(false);
		if
		:: atomic { outcome == OK -> outcome = 0; trust() }
		:: else -> goto read
		fi
	:: atomic { (seenHolder != id || seenReleased) && seenFencing < TERMS &&
#ifndef NO_TTL_WAIT
		(seenReleased || now >= firstSeen + TTL) &&
#endif
		true ->
#ifdef FENCING_STAYS
		next = (seenFencing > 0 -> seenFencing : 1);
#else
		next = seenFencing + 1;
#endif
		if
#ifndef COUNT_FROM_LAST
		:: sent
#endif
		:: else -> sentAt = now
		fi;
		sent = true }
		put(false);
		if
		:: atomic { outcome == OK -> outcome = 0; trust() }
		:: else -> goto read
		fi
	:: atomic { seenHolder == id && !seenReleased && until[id] > 0 ->
		next = seenFencing;
#ifndef TRUST_WHILE_RELEASING
		until[id] = 0;
#endif
		sent = false; sentAt = 0 }
		put(true);
		outcome = 0;
		goto read
	:: atomic { now < until[id] -> order = trusted[id] }
		/* A pause of any length may lie between the check and the sending. */
		atomic {
			if
#ifdef IGNORE_FENCING
			:: true ->
#else
			:: order >= inForce ->
#endif
				assert(order >= inForce);
				inForce = order
#ifndef IGNORE_FENCING
			:: else
#endif
			fi;
			order = 0
		}
	od
}

/* Clock moves the time and checks that no two processes trust the lease, and
 * that the number rises with the holder. */
proctype Clock() {
end:	do
	:: atomic { now < LIMIT -> now++ }
	:: atomic { now < until[0] && now < until[1] -> assert(false) }
	:: atomic { trusted[0] > 0 && trusted[0] == trusted[1] -> assert(false) }
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
		lateWaits = false; lateHolder = 0; lateFencing = 0; lateReleased = false; current[LATE] = false }
	od
}

init {
	atomic { run Process(0); run Process(1); run Clock(); run Network() }
}
