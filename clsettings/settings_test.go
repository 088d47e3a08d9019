// This file tests the schema, the loader and the samples.

package clsettings

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

const entryText = `[process]
name = e1
data_centre = a
region = r
[listen]
caller = 127.0.0.1:0
peer = 127.0.0.1:0
metrics = 127.0.0.1:0
[peer]
token = 0123456789abcdef
[platform]
object_api_url = http://127.0.0.1:1
cloud_api_url = http://127.0.0.1:2
`

// Guards against samples that no longer load, and against accessors that read the wrong key.
func TestSamplesLoad(t *testing.T) {
	entry, err := LoadEntry("../settings/entry.ini")
	require.NoError(t, err)
	require.Equal(t, netip.MustParseAddrPort("0.0.0.0:8080"), entry.GetListen().CallerAddr())
	require.Equal(t, netip.MustParseAddrPort("10.1.0.11:7000"), entry.GetPeer().AdvertisedAddr(entry.GetListen().PeerAddr()))
	require.Len(t, entry.GetPeer().SeedAddrs(), 3)
	require.Equal(t, 80*time.Millisecond, entry.GetBooking().GetLinger().AsDuration())
	require.EqualValues(t, 4<<10, entry.GetBooking().GetAnswerLimit())
	require.Equal(t, "http://10.1.0.2:8200", entry.GetPlatform().WeightStore())

	control, err := LoadControl("../settings/control.ini")
	require.NoError(t, err)
	require.Equal(t, netip.MustParseAddrPort("127.0.0.1:8090"), control.GetListen().OperatorAddr())
	require.Equal(t, []string{"replace-with-a-random-operator-token"}, control.GetOperator().GetTokens())
}

// Guards against rules that lack a part, or whose default the loader itself would refuse.
func TestSchemaIsComplete(t *testing.T) {
	for _, m := range []proto.Message{&EntrySettings{}, &ControlSettings{}} {
		sections := m.ProtoReflect().Descriptor().Fields()
		for i := range sections.Len() {
			require.NotEmpty(t, proto.GetExtension(sections.Get(i).Options(), E_SectionDoc), sections.Get(i).FullName())
			keys := sections.Get(i).Message().Fields()
			for j := range keys.Len() {
				rule, name := RuleOf(keys.Get(j)), keys.Get(j).FullName()
				require.NotEmpty(t, rule.GetDoc(), name)
				require.NotZero(t, rule.GetKind(), name)
				switch rule.GetKind() {
				case Kind_KIND_DURATION, Kind_KIND_SIZE, Kind_KIND_COUNT:
					for _, text := range []string{rule.GetDefault(), rule.GetMin(), rule.GetMax()} {
						_, err := parseValue(rule, text)
						require.Nil(t, err, "%s: %q", name, text)
					}
				}
			}
		}
	}
}

// Guards against faults of a settings file that pass, or that are reported without place or remedy.
func TestFaultsAreReported(t *testing.T) {
	tests := []struct {
		add  string
		want []string
	}{
		{"[slot]\na = 1\n", []string{"entry.ini: [slot]: unknown section; use one of process, listen"}},
		{"[slots]\ngroups = 1\n", []string{"[slots] groups: unknown key; use one of slot_groups,"}},
		{"[slots.x]\na = 1\n", []string{"[slots.x]: unknown section"}},
		{"[lease]\nttl = 6\n", []string{`[lease] ttl: "6" is not a duration; write a number and a unit`}},
		{"[lease]\nttl = 0\n", []string{`[lease] ttl: "0" is not a duration`}},
		{"[lease]\nttl = 1ms\n", []string{"[lease] ttl: 1ms is too low; set a value from 100ms to 5m"}},
		{"[lease]\nttl = -1s\n", []string{"-1s is too low"}},
		{"[lease]\nttl =\n", []string{"[lease] ttl: empty value; set a value, or remove the line to get 3s"}},
		{"[lease]\nttl = 5s\nttl = 5s\n", []string{"[lease] ttl: set 2 times; keep one of the lines"}},
		{"[lease]\nttl = 4s\nmargin = 3s\n", []string{"[lease] margin: is not below two thirds of ttl; set it below 2.666s"}},
		{"[requests]\nbody_limit = 4mb\n", []string{`"4mb" is not a size`}},
		{"[requests]\nbody_limit = 99999999999GB\n", []string{"is not a size"}},
		{"[requests]\nbody_limit = 1GB\n", []string{"1GB is too high; set a value from 1KB to 64MB"}},
		{"[requests]\nmax_connections = many\n", []string{`"many" is not a whole number`}},
		{"[slots]\nlifetime = 10s\n", []string{"[slots] lifetime: is not below lease.ttl; lower it or raise lease.ttl"}},
		{"[booking]\nanswer_limit = 8KB\nhead_limit = 8KB\n", []string{"answer_limit: is not below booking.head_limit"}},
		{"[peer]\nseeds = 10.0.0.1:1, seed\n", []string{`[peer] seeds: "seed" is not an address`}},
		{"[peer]\nadvertised = 0.0.0.0:7\n", []string{"0.0.0.0:7 cannot be dialled"}},
		{"[peer]\ntoken_file = t\n", []string{"[peer] token_file: set together with token; keep one of the two keys"}},
		{"[log]\nlevel = loud\n", []string{`"loud" is not allowed; use one of debug, info, warn, error`}},
		{"[admission]\nqueue_limit = 10\n", []string{"account_queue_limit: is above queue_limit"}},
		{"[platform]\nweight_store_url = ftp://x\n", []string{`"ftp://x" is not a URL`}},
		{"no line\n", []string{"is not an INI file"}},
		{"[slot]\n[lease]\nttl = 6\n[log]\nlevel = loud\n", []string{"[slot]", "[lease] ttl", "[log] level"}},
	}
	for _, tt := range tests {
		_, err := ParseEntry("entry.ini", []byte(entryText+tt.add))
		require.Error(t, err, tt.add)
		require.Len(t, err.(*Error).Problems, len(tt.want), "%s: %v", tt.add, err)
		for i, line := range strings.Split(err.Error(), "\n") {
			require.Contains(t, line, tt.want[i])
		}
	}
}

// Guards against a missing required key, a shared port or an undiallable address that goes unnoticed.
func TestFaultsOfRequiredKeys(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{"name = e1", "", "[process] name: missing; set it: Name of the process"},
		{"name = e1", "name = ", "[process] name: missing"},
		{"token = 0123456789abcdef", "", "[peer] token: missing; set it or token_file"},
		{"token = 0123456789abcdef", "token = short", "[peer] token: the secret has 5 characters"},
		{"token = 0123456789abcdef", "token_file = absent", "[peer] token_file: cannot be read"},
		{"peer = 127.0.0.1:0", "peer = 0.0.0.0:7000", "[peer] advertised: missing, and listen.peer names no single address"},
		{"caller = 127.0.0.1:0\npeer = 127.0.0.1:0", "caller = 127.0.0.1:7\npeer = 127.0.0.1:7", "[listen] peer: uses the port of caller"},
		{"[process]", "a = 1\n[process]", "a: the key stands before any section"},
	}
	for _, tt := range tests {
		_, err := ParseEntry("entry.ini", []byte(strings.Replace(entryText, tt.old, tt.new, 1)))
		require.ErrorContains(t, err, tt.want)
		require.Len(t, err.(*Error).Problems, 1, err)
	}
}

// Guards against one credential for operators and peers, and against secret files that are not read.
func TestSecrets(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "tokens"), []byte("operator-token-1\noperator-token-2\n"), 0o600))
	text := strings.Replace(entryText, "caller =", "operator =", 1) + "[operator]\ntokens_file = tokens\n"
	s, err := ParseControl(filepath.Join(dir, "control.ini"), []byte(text))
	require.NoError(t, err)
	require.Equal(t, []string{"operator-token-1", "operator-token-2"}, s.GetOperator().GetTokens())

	text = strings.Replace(text, "0123456789abcdef", "operator-token-2", 1)
	_, err = ParseControl(filepath.Join(dir, "control.ini"), []byte(text))
	require.ErrorContains(t, err, "[operator] tokens: contains the peer token")
	require.NotContains(t, err.Error(), "operator-token-2")
}

// Guards against a page that differs from the schema.
func TestPageMatchesSchema(t *testing.T) {
	want, err := os.ReadFile("../docs/settings.md")
	require.NoError(t, err)
	var b bytes.Buffer
	require.NoError(t, WritePage(&b))
	require.Equal(t, string(want), b.String(), "run make generate")
}
