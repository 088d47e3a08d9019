package clbooking

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clstate"
)

// TestChangeOf guards each rule of a record's changes: a late claim of a
// withdrawn attempt, a withdrawal after the call ended, and an outcome without
// its claim must have no effect.
func TestChangeOf(t *testing.T) {
	tests := []struct {
		name    string
		stored  string
		state   clstate.BookingState
		attempt string
		change  clstate.BookingState
		want    change
	}{
		{"claim of a new key", "", 0, "a", stClaimed, changeWrite},
		{"claim again", "a", stClaimed, "a", stClaimed, changeFinal},
		{"claim of another's key", "b", stClaimed, "a", stClaimed, changeNone},
		{"claim of another's unknown", "b", stUnknown, "a", stClaimed, changeNone},
		{"claim of a done key", "b", stDone, "a", stClaimed, changeFinal},
		{"claim of a released key", "b", stReleased, "a", stClaimed, changeWrite},
		{"late claim of a withdrawn attempt", "a", stReleased, "a", stClaimed, changeFinal},
		{"outcome", "a", stClaimed, "a", stDone, changeWrite},
		{"unknown outcome", "a", stClaimed, "a", stUnknown, changeWrite},
		{"late outcome", "a", stUnknown, "a", stDone, changeWrite},
		{"outcome after done", "a", stDone, "a", stUnknown, changeFinal},
		{"outcome without a claim", "", 0, "a", stDone, changeNone},
		{"outcome of another's claim", "b", stClaimed, "a", stDone, changeNone},
		{"outcome of a withdrawn attempt", "a", stReleased, "a", stDone, changeNone},
		{"release", "a", stClaimed, "a", stReleased, changeWrite},
		{"release before the claim", "", 0, "a", stReleased, changeWrite},
		{"release after another's release", "b", stReleased, "a", stReleased, changeWrite},
		{"release of another's claim", "b", stClaimed, "a", stReleased, changeNone},
		{"release of an ended attempt", "a", stUnknown, "a", stReleased, changeNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stored *clstate.BookingRecord
			if tt.stored != "" {
				stored = &clstate.BookingRecord{AttemptId: tt.stored, State: tt.state}
			}
			require.Equal(t, tt.want, changeOf(stored, &clstate.BookingRecord{AttemptId: tt.attempt, State: tt.change}))
		})
	}
}

// TestJudge guards what a caller is told.
func TestJudge(t *testing.T) {
	own := &clstate.BookingRecord{AttemptId: "a", BodyDigest: []byte{1}}
	tests := []struct {
		name   string
		stored *clstate.BookingRecord
		want   Verdict
	}{
		{"own claim", &clstate.BookingRecord{AttemptId: "a", State: stClaimed}, VerdictProceed},
		{"another's claim", &clstate.BookingRecord{AttemptId: "b", State: stClaimed}, VerdictRunning},
		{"answer kept", &clstate.BookingRecord{AttemptId: "b", State: stDone}, VerdictReplay},
		{"answer omitted", &clstate.BookingRecord{AttemptId: "b", State: stDone, Answer: &clstate.BookingAnswer{Omitted: true}}, VerdictUnknown},
		{"outcome unknown", &clstate.BookingRecord{AttemptId: "b", State: stUnknown}, VerdictUnknown},
		{"withdrawn", &clstate.BookingRecord{AttemptId: "a", State: stReleased}, VerdictWithdrawn},
		{"other body", &clstate.BookingRecord{AttemptId: "b", State: stDone, BodyDigest: []byte{2}}, VerdictMismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.stored.BodyDigest == nil {
				tt.stored.BodyDigest = own.BodyDigest
			}
			require.Equal(t, tt.want, Judge(own, tt.stored))
		})
	}
}

// TestCheckKeyAge guards keys that carry their time: an expired one must never
// be claimed again, and an opaque one must not be refused for its form.
func TestCheckKeyAge(t *testing.T) {
	now := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	tests := []struct {
		name, key string
		want      Kind
	}{
		{"opaque", "shift-17", ""},
		{"UUIDv4", "9b2f8f0e-6f53-4b53-9e0a-1f2c3d4e5f60", ""},
		{"UUIDv7 of now", uuid7(now), ""},
		{"UUIDv7 at the window's end", uuid7(now.Add(-defaultWindow)), ""},
		{"UUIDv7 past the window", uuid7(now.Add(-defaultWindow - time.Second)), KindExpired},
		{"UUIDv7 of the future", uuid7(now.Add(clockSlack + time.Second)), KindFuture},
		{"ULID past the window", "01ARZ3NDEKTSV4RRFFQ69G5FAV", KindExpired},
		{"ULID in lower case", "01arz3ndektsv4rrffq69g5fav", KindExpired},
		{"text of a ULID's form, far future", "7ZZZZZZZZZTSV4RRFFQ69G5FAV", ""},
		{"text of a ULID's form, before ULIDs", "00000000000SV4RRFFQ69G5FAV", ""},
		{"26 characters outside the alphabet", "01ARZ3NDEKTSV4RRFFQ69G5FAU", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, KindOf(CheckKeyAge(tt.key, now, defaultWindow)))
		})
	}
}

// TestKeyOfSeparatesParts guards against two calls that share a key because
// their parts run together.
func TestKeyOfSeparatesParts(t *testing.T) {
	require.NotEqual(t, KeyOf("ab", "c", "d"), KeyOf("a", "bc", "d"))
	require.NotEqual(t, BodyDigest("POST", "/a", []byte("b")), BodyDigest("POST", "/ab", nil))
}

func uuid7(t time.Time) string {
	const format = "%08x-%04x-7000-8000-000000000000"
	ms := t.UnixMilli()
	return fmt.Sprintf(format, ms>>16, ms&0xffff)
}
