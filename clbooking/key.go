// This file defines the keys, digests and object names of bookings.

package clbooking

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

const (
	// keyBytes and digestBytes are the lengths of the stored SHA-256 prefixes.
	keyBytes    = 16
	digestBytes = 8
	// ulidLength and crockford define the text form of a ULID.
	ulidLength     = 26
	ulidTimeLength = 10
	crockford      = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
	// clockSlack bounds the clock difference between processes and clients.
	// Records are kept this much longer than the window, so that a key whose
	// time is up to clockSlack ahead is refused before its record is removed.
	clockSlack = 10 * time.Minute
)

type (
	// Key identifies a call: a prefix of SHA-256 over account, service and idempotency key.
	Key [keyBytes]byte

	// AttemptIDs makes attempt IDs that are unique for each boot and call.
	AttemptIDs struct {
		// Boot is unique for each start of the process.
		Boot string

		n atomic.Uint64
	}
)

// earliestULID is the time below which a text of the form of a ULID is taken
// as an opaque key, because ULIDs did not exist.
var earliestULID = time.Date(2016, 1, 1, 0, 0, 0, 0, time.UTC)

// Next returns a new attempt ID.
func (a *AttemptIDs) Next() string { return fmt.Sprintf("%s-%x", a.Boot, a.n.Add(1)) }

// KeyOf returns the key of a call. The parts are hashed with their lengths, so
// that no two triples run together.
func KeyOf(account, service, idempotencyKey string) Key {
	return Key(digest(account, service, idempotencyKey)[:keyBytes])
}

// BodyDigest returns the digest that tells a resend from another call with the same key.
func BodyDigest(method, path string, body []byte) []byte {
	return digest(method, path, string(body))[:digestBytes]
}

func digest(parts ...string) []byte {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		_, _ = h.Write([]byte(p))
	}
	return h.Sum(nil)
}

// PartitionOf returns the partition of a key among n.
func PartitionOf(key Key, n uint32) uint32 {
	return uint32(binary.BigEndian.Uint64(key[:8]) % uint64(max(n, 1)))
}

// HeadName returns the name of a partition's head object.
func HeadName(service string, partition uint32) string {
	return fmt.Sprintf("booking/%s/%d/head", service, partition)
}

// SlotName returns the name of a slot of a partition's log.
func SlotName(service string, partition uint32, slot uint64) string {
	return fmt.Sprintf("booking/%s/%d/log-%d", service, partition, slot)
}

// SegmentName returns the name of a partition's sealed segment n.
func SegmentName(service string, partition uint32, n uint64) string {
	return fmt.Sprintf("booking/%s/%d/seg-%d", service, partition, n)
}

// KeyTime returns the time that an idempotency key carries, if it is a UUIDv7
// or a ULID. A text that only looks like a ULID, because its time is before
// ULIDs existed or ahead of now, counts as opaque.
func KeyTime(idempotencyKey string, now time.Time) (time.Time, bool) {
	if id, err := uuid.Parse(idempotencyKey); err == nil {
		if id.Version() != 7 {
			return time.Time{}, false
		}
		return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16)), true
	}
	t, ok := ulidTime(idempotencyKey)
	if !ok || t.Before(earliestULID) || t.After(now.Add(clockSlack)) {
		return time.Time{}, false
	}
	return t, true
}

func ulidTime(s string) (time.Time, bool) {
	if len(s) != ulidLength || s[0] > '7' {
		return time.Time{}, false
	}
	var ms int64
	for i, r := range strings.ToUpper(s) {
		digit := strings.IndexRune(crockford, r)
		if digit < 0 {
			return time.Time{}, false
		}
		if i < ulidTimeLength {
			ms = ms<<5 | int64(digit)
		}
	}
	return time.UnixMilli(ms), true
}

// CheckKeyAge refuses a key that carries a time outside the resend window:
// KindExpired if it is older, because its record may have been removed, and
// KindFuture if it is ahead of the clock, because its record would be removed
// before the key expires.
func CheckKeyAge(idempotencyKey string, now time.Time, window time.Duration) error {
	t, ok := KeyTime(idempotencyKey, now)
	switch {
	case !ok:
		return nil
	case now.Sub(t) > window:
		return newError(KindExpired, fmt.Sprintf("the key is older than the resend window of %s", window), nil)
	case t.Sub(now) > clockSlack:
		return newError(KindFuture, "the key's time is in the future", nil)
	}
	return nil
}
