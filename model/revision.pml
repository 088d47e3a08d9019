/*
 * Specifies changes of the configuration and their application; see docs/model.md.
 *
 * Bound: 2 proposers with one change each, 2 processes that apply, one late
 * request at a time. Any step may be delayed for any time.
 */
#define PROPOSERS 2
#define LATE PROPOSERS

mtype = { OK, CONFLICT, LOST, ACCEPTED, REFUSED, UNKNOWN };

/* The head object, and the proposal that made each revision. */
byte revision;
byte history[4];

/* current[i] says that the head's version is still the one that i has read. */
bool current[3];

/* A request whose answer was given up and which may still take effect. */
bool lateWaits;
byte lateProposal, lateRevision;

#ifdef NO_VERSION_CHECK
#define VERSION_HOLDS(i) true
#else
#define VERSION_HOLDS(i) current[i]
#endif

inline store(toRevision, proposal) {
	/* A revision is made once, and each follows the one before. */
	assert(toRevision == revision + 1);
	revision = toRevision; history[revision] = proposal;
	current[0] = false; current[1] = false; current[LATE] = false
}

proctype Proposer(byte id) {
	byte proposed, seen;
	bool sent;
	mtype outcome, result;
	byte i;
again:
	atomic {
		seen = revision; current[id] = true;
		if
#ifndef NO_PROPOSAL_CHECK
		:: seen > 0 && history[seen] == id + 1 -> result = ACCEPTED
#endif
		:: else ->
			if
			:: sent && seen == proposed -> sent = false
			:: sent && seen > proposed ->
#ifdef SUPERSEDED_IS_REFUSED
				result = REFUSED
#else
				/* The list of recent proposals tells, unless it is too short. */
				if
#ifdef NO_RECENT_CHECK
				:: sent = false
#else
				:: history[proposed] == id + 1 -> result = ACCEPTED
				:: history[proposed] != id + 1 -> sent = false
#endif
				:: result = UNKNOWN
				fi
#endif
			:: else
			fi
		fi
	}
	if
	:: result != 0 -> goto done
	:: result == 0 && !sent -> result = REFUSED; goto done /* the platform is down */
	:: result == 0 && sent -> result = UNKNOWN; goto done
	:: result == 0
	fi;
	proposed = seen + 1;
	if
	:: atomic { VERSION_HOLDS(id) -> store(proposed, id + 1); outcome = OK }
	:: atomic { !VERSION_HOLDS(id) -> outcome = CONFLICT }
	:: atomic { !lateWaits ->
		lateWaits = true; lateProposal = id + 1; lateRevision = proposed;
		current[LATE] = current[id]; outcome = LOST }
	fi;
	if
	:: outcome == OK -> result = ACCEPTED
#ifdef LOST_IS_ACCEPTED
	:: outcome == LOST -> result = ACCEPTED
#endif
#ifdef LOST_IS_REFUSED
	:: outcome == LOST -> result = REFUSED
#endif
	:: outcome == LOST -> sent = true; goto again
	:: outcome == CONFLICT -> goto again
	fi;
done:
	/* The late request is gone, one way or the other, when the truth is checked. */
	!lateWaits || lateProposal != id + 1;
	atomic {
		i = 1; seen = 0;
		do
		:: i <= revision && i < 4 ->
			if
			:: history[i] == id + 1 -> seen++
			:: else
			fi;
			i++
		:: else -> break
		od;
		assert(result != ACCEPTED || seen == 1);
		assert(result != REFUSED || seen == 0);
		assert(seen <= 1)
	}
}

/* Each process applies revisions that reach it in any order, any number of times. */
byte applied[2];

inline apply() {
	atomic {
		before = applied[id];
		if
#ifdef APPLY_ANY
		:: true -> applied[id] = arrived
#else
		:: arrived > before -> applied[id] = arrived
		:: else
#endif
		fi;
		assert(applied[id] >= before);
		before = 0; arrived = 0
	}
}

proctype Process(byte id) {
	byte before, arrived, answered;
	bool ready;
	do
	:: atomic { revision >= 1 -> arrived = 1 }; apply()
	:: atomic { revision >= 2 -> arrived = 2 }; apply()
	:: !ready ->
		/* The other process answers with what it has applied. */
		answered = applied[1 - id];
		if
#ifdef READY_EARLY
		:: true ->
#else
		:: applied[id] >= answered ->
#endif
			ready = true;
			assert(applied[id] >= answered)
#ifndef READY_EARLY
		:: applied[id] < answered
#endif
		fi;
		answered = 0
	:: break
	od
}

/* Network lets late requests take effect or fail. */
proctype Network() {
end:	do
	:: atomic { lateWaits ->
		if
		:: VERSION_HOLDS(LATE) -> store(lateRevision, lateProposal)
		:: else
		fi;
		lateWaits = false; lateProposal = 0; lateRevision = 0; current[LATE] = false }
	od
}

init {
	atomic {
		run Proposer(0); run Proposer(1);
		run Process(0); run Process(1); run Network()
	}
}
