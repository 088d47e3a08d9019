// This file defines how the text of one key is read and checked against its rule.

package clsettings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

type (
	valueError struct {
		reason string
		remedy string
	}

	sizeUnit struct {
		name  string
		bytes uint64
	}
)

// sizeUnits holds longer names first, because each ends in "B".
var sizeUnits = []sizeUnit{{"GB", 1 << 30}, {"MB", 1 << 20}, {"KB", 1 << 10}, {"B", 1}}

// RuleOf returns the rule of a key's field, or an empty rule if it has none.
func RuleOf(fd protoreflect.FieldDescriptor) *Rule {
	rule, _ := proto.GetExtension(fd.Options(), E_Rule).(*Rule)
	return rule
}

// parseValue reads one value. Messages never contain the text of a secret.
func parseValue(rule *Rule, text string) (protoreflect.Value, *valueError) {
	switch rule.GetKind() {
	case Kind_KIND_DURATION, Kind_KIND_SIZE, Kind_KIND_COUNT:
		return parseNumber(rule, text)
	case Kind_KIND_ADDRESS:
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fail(fmt.Sprintf("%q is not an address", text), `write an IP address and a port, as "10.0.0.7:7000"`)
		}
	case Kind_KIND_URL:
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fail(fmt.Sprintf("%q is not a URL", text), `write one as "http://10.0.0.7:8080"`)
		}
	case Kind_KIND_BOOL:
		if text != "true" && text != "false" {
			return fail(fmt.Sprintf("%q is neither true nor false", text), "write true or false")
		}
		return protoreflect.ValueOfBool(text == "true"), nil
	case Kind_KIND_SECRET:
		if err := checkSecret(rule, text); err != nil {
			return protoreflect.Value{}, err
		}
	case Kind_KIND_TEXT:
		if values := rule.GetValues(); len(values) > 0 && !slices.Contains(values, text) {
			return fail(fmt.Sprintf("%q is not allowed", text), "use one of "+strings.Join(values, ", "))
		}
	}
	return protoreflect.ValueOfString(text), nil
}

// parseNumber reads a kind that has bounds and an order.
func parseNumber(rule *Rule, text string) (protoreflect.Value, *valueError) {
	n, err := numberOf(rule.GetKind(), text)
	if err != nil {
		return protoreflect.Value{}, err
	}
	if low, err := numberOf(rule.GetKind(), rule.GetMin()); err == nil && n < low {
		return fail(text+" is too low", boundsRemedy(rule))
	}
	if high, err := numberOf(rule.GetKind(), rule.GetMax()); err == nil && n > high {
		return fail(text+" is too high", boundsRemedy(rule))
	}
	switch rule.GetKind() {
	case Kind_KIND_DURATION:
		return protoreflect.ValueOfMessage(durationpb.New(time.Duration(n)).ProtoReflect()), nil
	case Kind_KIND_SIZE:
		return protoreflect.ValueOfUint64(uint64(n)), nil
	default:
		return protoreflect.ValueOfUint32(uint32(n)), nil
	}
}

// numberOf returns nanoseconds, bytes or the count.
func numberOf(kind Kind, text string) (int64, *valueError) {
	switch kind {
	case Kind_KIND_DURATION:
		d, err := time.ParseDuration(text)
		if err != nil || text == "0" {
			return 0, &valueError{fmt.Sprintf("%q is not a duration", text), `write a number and a unit (ms, s, m, h), as "250ms"`}
		}
		return int64(d), nil
	case Kind_KIND_SIZE:
		for _, u := range sizeUnits {
			digits, found := strings.CutSuffix(text, u.name)
			if !found {
				continue
			}
			n, err := strconv.ParseUint(digits, 10, 64)
			if err != nil || n > math.MaxInt64/u.bytes {
				break
			}
			return int64(n * u.bytes), nil
		}
		return 0, &valueError{fmt.Sprintf("%q is not a size", text), `write a whole number and a unit (B, KB, MB, GB), as "256KB"`}
	default:
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return 0, &valueError{fmt.Sprintf("%q is not a whole number", text), `write a number without a unit, as "8"`}
		}
		return int64(n), nil
	}
}

// checkSecret bounds the length and excludes characters that cannot stand in a header field.
func checkSecret(rule *Rule, text string) *valueError {
	low, _ := strconv.Atoi(rule.GetMin())
	high, _ := strconv.Atoi(rule.GetMax())
	if len(text) < low || len(text) > high {
		return &valueError{fmt.Sprintf("the secret has %d characters", len(text)),
			fmt.Sprintf("use a random one of %d to %d characters", low, high)}
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return &valueError{"the secret contains a space, a control character or a letter outside ASCII", "use visible ASCII characters"}
	}
	return nil
}

func boundsRemedy(rule *Rule) string {
	return fmt.Sprintf("set a value from %s to %s", rule.GetMin(), rule.GetMax())
}

func fail(reason, remedy string) (protoreflect.Value, *valueError) {
	return protoreflect.Value{}, &valueError{reason, remedy}
}
