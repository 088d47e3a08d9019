// This file tests the operators' commands against a fake of the operators' API.

package clcommand

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// fakeOperator answers with err if it is set, and with one plan whose states follow each other.
type fakeOperator struct {
	err    error
	failed int
	plans  []*clstate.Plan
	apply  *clwire.ApplyRequest
	intent *clwire.StateIntentRequest
	decide *clwire.DecidePlanRequest
}

var (
	_ clwire.Operator = (*fakeOperator)(nil)

	now = time.Date(2026, 3, 1, 18, 30, 0, 0, time.FixedZone("", 4*3600))
)

func (f *fakeOperator) Apply(_ context.Context, r *clwire.ApplyRequest) (*clwire.ApplyResponse, error) {
	f.apply = r
	return &clwire.ApplyResponse{Revision: 8}, f.err
}

func (f *fakeOperator) GetConfig(context.Context, *clwire.GetConfigRequest) (*clwire.GetConfigResponse, error) {
	return &clwire.GetConfigResponse{Config: &clstate.ConfigSnapshot{Revision: 7, Services: []*clstate.Service{{
		Name: "brew-llm", Versions: []*clstate.Version{{Name: "v1"}, {Name: "v2"}}, ActiveVersion: "v1"}},
		Moves: []*clstate.Move{{Service: "brew-llm", FromVersion: "v1", ToVersion: "v2", SharePermille: 50}}}}, f.err
}

func (f *fakeOperator) StateIntent(_ context.Context, r *clwire.StateIntentRequest) (*clwire.StateIntentResponse, error) {
	f.intent = r
	return &clwire.StateIntentResponse{Plan: &clstate.Plan{Id: "p1", Intent: r.GetIntent(), State: clstate.PlanState_PLAN_STATE_PROPOSED}}, f.err
}

func (f *fakeOperator) GetPlan(context.Context, *clwire.GetPlanRequest) (*clwire.GetPlanResponse, error) {
	if f.failed > 0 {
		f.failed--
		return nil, twirp.NewError(twirp.Unavailable, "no holder")
	}
	if len(f.plans) == 0 {
		return nil, twirp.NotFoundError("no plan p1")
	}
	p := f.plans[0]
	f.plans = f.plans[1:]
	return &clwire.GetPlanResponse{Plan: p}, f.err
}

func (f *fakeOperator) ListPlans(context.Context, *clwire.ListPlansRequest) (*clwire.ListPlansResponse, error) {
	return &clwire.ListPlansResponse{Plans: f.plans}, f.err
}

func (f *fakeOperator) DecidePlan(_ context.Context, r *clwire.DecidePlanRequest) (*clwire.DecidePlanResponse, error) {
	f.decide = r
	return &clwire.DecidePlanResponse{Plan: &clstate.Plan{Id: r.GetId(), State: clstate.PlanState_PLAN_STATE_CONFIRMED}}, f.err
}

func (f *fakeOperator) GetStatus(context.Context, *clwire.GetStatusRequest) (*clwire.GetStatusResponse, error) {
	return &clwire.GetStatusResponse{Revision: 7, ObjectApi: "up", Endpoints: []*clwire.EndpointStatus{
		{Id: "e1", Service: "brew-llm", Version: "v2", State: "live"}}}, f.err
}

// runCommand runs the command line against f, with the right token unless the environment names another.
func runCommand(t *testing.T, f *fakeOperator, line ...string) (ExitCode, string, string) {
	t.Helper()
	api := clwire.NewOperatorServer(f)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer operator-token" {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "wrong token"))
			return
		}
		api.ServeHTTP(w, r)
	}))
	defer server.Close()
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("operator-token\n"), 0o600))
	var out, errOut bytes.Buffer
	app := &App{Stdout: &out, Stderr: &errOut, Now: func() time.Time { return now }}
	args := append([]string{"chestnutlead", "--server", server.URL, "--token-file", token, "--operator", "nino"}, line...)
	code := app.Run(t.Context(), args)
	return code, out.String(), errOut.String()
}

// Guards against an exit code from which a script would draw the wrong conclusion, and against errors without a remedy.
func TestExitCodes(t *testing.T) {
	intermediary := twirp.NewError(twirp.Unavailable, "bad gateway").WithMeta("http_error_from_intermediary", "true")
	tests := []struct {
		err    error
		args   string
		code   ExitCode
		stderr string
	}{
		{nil, "plan confirm p1", ExitSuccess, ""},
		{twirp.NewError(twirp.Aborted, "plan was rejected by gio"), "plan confirm p1", ExitConflict, "rejected by gio; nothing was changed"},
		{twirp.NewError(twirp.FailedPrecondition, "plan is done"), "plan reject p1", ExitConflict, "plan is done"},
		{twirp.NewError(twirp.Unknown, "answer lost"), "plan confirm p1", ExitUnknown, "see `chestnutlead plan show p1` before you repeat it"},
		{twirp.NewError(twirp.Internal, "fault"), "intent data-centre out b", ExitUnknown, "chestnutlead plan list"},
		{intermediary, "plan confirm p1", ExitUnknown, "may have taken effect"},
		{twirp.NewError(twirp.Unavailable, "object API is down"), "plan confirm p1", ExitFailure, "nothing was changed"},
		{twirp.NewError(twirp.Unknown, "answer lost"), "plan list", ExitFailure, "try again"},
		{twirp.NewError(twirp.InvalidArgument, "no service x"), "intent move --service x --to v2 --by +1h", ExitFailure, "correct the request"},
		{nil, "plan show p1", ExitFailure, "chestnutlead plan list"},
		{nil, "plan confirm", ExitUsage, "takes 1 arguments, not 0"},
		{nil, "plan drop p1", ExitUsage, `no command "drop"`},
		{nil, "unheard", ExitUsage, `no command "unheard"`},
		{nil, "plan list --bogus", ExitUsage, "--help"},
		{nil, "intent move --service x", ExitUsage, "by"},
		{nil, "intent move --service x --to v2 --by noon", ExitUsage, "18:00"},
		{nil, "status clouds", ExitUsage, "endpoints, versions"},
		{nil, "status -o xml", ExitUsage, "use table or json"},
		{nil, "--server nowhere status", ExitUsage, "not a URL"},
		{nil, "--server http://127.0.0.1:1 plan confirm p1", ExitFailure, "nothing was sent; check --server"},
		{nil, "--token-file absent status", ExitUsage, "--token-file"},
	}
	for _, tt := range tests {
		code, _, stderr := runCommand(t, &fakeOperator{err: tt.err}, strings.Fields(tt.args)...)
		require.Equal(t, tt.code, code, "%s: %s", tt.args, stderr)
		require.Contains(t, stderr, tt.stderr, tt.args)
	}
}

// Guards against a token in place of which another one is sent, and against a redirect that carries it away.
func TestToken(t *testing.T) {
	t.Setenv(tokenVariable, "caller-token")
	code, _, stderr := runCommand(t, &fakeOperator{}, "--token-file", "", "status")
	require.Equal(t, ExitFailure, code)
	require.Contains(t, stderr, "pass an operator's token")

	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the redirect was followed") }))
	defer other.Close()
	server := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	code, _, _ = runCommand(t, &fakeOperator{}, "--server", server.URL, "plan", "confirm", "p1")
	require.Equal(t, ExitUnknown, code)
}

// Guards against configuration files whose values reach the server changed, and against misspelt names that pass.
func TestApply(t *testing.T) {
	sum := sha256.Sum256([]byte("key"))
	path := filepath.Join(t.TempDir(), "config.yaml")
	text := "services:\n- name: stock\n  kind: plain\n  on_outage: ON_OUTAGE_REFUSE\n  resend_window: 24h\n" +
		"data_centres: [{name: b, state: in}]\naccounts:\n- name: a\n  key_sha256: [" + hex.EncodeToString(sum[:]) + "]\n"
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	f := &fakeOperator{}
	code, out, stderr := runCommand(t, f, "apply", "-f", path, "--if-revision", "7")
	require.Equal(t, ExitSuccess, code, stderr)
	require.Equal(t, "accepted as revision 8\n", out)
	require.Equal(t, clstate.ServiceKind_SERVICE_KIND_PLAIN, f.apply.GetServices()[0].GetKind())
	require.Equal(t, clstate.OnOutage_ON_OUTAGE_REFUSE, f.apply.GetServices()[0].GetOnOutage())
	require.Equal(t, 24*time.Hour, f.apply.GetServices()[0].GetResendWindow().AsDuration())
	require.Equal(t, clstate.DataCentreState_DATA_CENTRE_STATE_IN, f.apply.GetDataCentres()[0].GetState())
	require.Equal(t, sum[:], f.apply.GetAccounts()[0].GetKeySha256()[0])
	require.EqualValues(t, 7, f.apply.GetIfRevision())

	for _, bad := range []string{`{"service": []}`, "services: [{name: a, active: v1}]", "[]", "a: [", "services: [{kind: odd}]"} {
		_, err := decodeConfig([]byte(bad))
		require.ErrorContains(t, err, "write ", bad)
	}
}

// Guards against a time of day that has passed or is taken in another zone.
func TestParseTime(t *testing.T) {
	tests := []struct{ text, want string }{
		{"18:31", "2026-03-01T18:31:00+04:00"},
		{"18:30", "2026-03-02T18:30:00+04:00"},
		{"06:00", "2026-03-02T06:00:00+04:00"},
		{"+2h", "2026-03-01T20:30:00+04:00"},
		{"2026-03-01T15:00:00Z", "2026-03-01T15:00:00Z"},
		{"2026-03-01T14:00:00Z", ""}, {"+0s", ""}, {"+-1h", ""}, {"24:00", ""}, {"", ""},
	}
	for _, tt := range tests {
		got, err := parseTime(now, tt.text)
		if tt.want == "" {
			require.Error(t, err, tt.text)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, tt.want, got.Format(time.RFC3339), tt.text)
	}
}

// Guards against an intent or decision that differs from what the operator typed.
func TestIntentAndDecision(t *testing.T) {
	f := &fakeOperator{}
	code, out, stderr := runCommand(t, f, "intent", "move", "--service", "brew-llm", "--to", "v2", "--by", "+2h")
	require.Equal(t, ExitSuccess, code, stderr)
	require.Equal(t, "nino", f.intent.GetOperator())
	require.Equal(t, now.Add(2*time.Hour).Unix(), f.intent.GetIntent().GetMoveVersion().GetDeadline().GetSeconds())
	require.Contains(t, out, "intent: move brew-llm to v2 by 2026-03-01T20:30:00+04:00")
	require.Contains(t, out, "next: chestnutlead plan confirm p1")
	for arg, want := range map[string]clstate.DataCentreState{
		"out": clstate.DataCentreState_DATA_CENTRE_STATE_OUT, "in": clstate.DataCentreState_DATA_CENTRE_STATE_IN} {
		code, _, stderr = runCommand(t, f, "intent", "data-centre", arg, "tbilisi-b")
		require.Equal(t, ExitSuccess, code, stderr)
		require.Equal(t, want, f.intent.GetIntent().GetSetDataCentre().GetState())
		require.Nil(t, f.intent.GetIntent().GetSetDataCentre().GetAt())
	}
	code, _, _ = runCommand(t, f, "plan", "reject", "--reason", "too late", "p1")
	require.Equal(t, ExitSuccess, code)
	require.False(t, f.decide.GetConfirm())
	require.Equal(t, "too late", f.decide.GetReason())
}

// Guards against steps that are missed or printed twice, and against a follower that gives up while control is replaced.
func TestFollow(t *testing.T) {
	plan := func(state clstate.PlanState, finished int) *clstate.Plan {
		p := &clstate.Plan{Id: "p1", State: state, Reason: "deadline missed", DecidedBy: "gio"}
		for i, text := range []string{"share 5%", "share 25%"} {
			p.Steps = append(p.Steps, &clstate.PlanStep{Description: text, Finished: i < finished, FinishedAt: timestamppb.New(now)})
		}
		return p
	}
	tests := []struct {
		end  clstate.PlanState
		code ExitCode
		text string
	}{
		{clstate.PlanState_PLAN_STATE_DONE, ExitSuccess, ""},
		{clstate.PlanState_PLAN_STATE_UNDONE, ExitUndone, "undone: deadline missed"},
		{clstate.PlanState_PLAN_STATE_REJECTED, ExitRejected, `rejected by "gio"`},
	}
	for _, tt := range tests {
		running := clstate.PlanState_PLAN_STATE_RUNNING
		f := &fakeOperator{failed: 2, plans: []*clstate.Plan{plan(running, 0), plan(running, 1), plan(running, 1), plan(tt.end, 2)}}
		code, out, stderr := runCommand(t, f, "plan", "follow", "--interval", "1ms", "p1")
		require.Equal(t, tt.code, code, stderr)
		require.Equal(t, 1, strings.Count(out, "step 1/2 finished: share 5%"), out)
		require.Equal(t, 1, strings.Count(out, "step 2/2 finished: share 25%"), out)
		require.Equal(t, 1, strings.Count(stderr, "polling again"))
		require.Contains(t, stderr, tt.text)
	}
	code, _, _ := runCommand(t, &fakeOperator{failed: 1}, "plan", "follow", "--patience", "0s", "p1")
	require.Equal(t, ExitFailure, code)
}

// Guards against JSON that scripts cannot read, and against shares that do not follow from the running move.
func TestStatusOutput(t *testing.T) {
	code, out, stderr := runCommand(t, &fakeOperator{}, "status", "versions", "-o", "json")
	require.Equal(t, ExitSuccess, code, stderr)
	require.JSONEq(t, `[{"service":"brew-llm","version":"v1","active":true,"share_permille":950,"live":0,"leaving":0},
		{"service":"brew-llm","version":"v2","active":false,"share_permille":50,"live":1,"leaving":0}]`, out)
	for _, args := range [][]string{{"status"}, {"status", "endpoints"}, {"status", "leases"}, {"config", "get"}, {"plan", "list"}} {
		code, out, _ = runCommand(t, &fakeOperator{}, append(args, "--output", "json")...)
		require.Equal(t, ExitSuccess, code)
		require.True(t, json.Valid([]byte(out)), out)
		code, out, _ = runCommand(t, &fakeOperator{}, args...)
		require.Equal(t, ExitSuccess, code)
		require.NotEmpty(t, out)
	}
}

// Guards against a printed hash that does not belong to the key, and against settings checks that pass a faulty file.
func TestLocalCommands(t *testing.T) {
	code, out, _ := runCommand(t, &fakeOperator{}, "account", "key", "-o", "json")
	require.Equal(t, ExitSuccess, code)
	var made map[string]string
	require.NoError(t, json.Unmarshal([]byte(out), &made))
	sum := sha256.Sum256([]byte(made["key"]))
	require.Equal(t, hex.EncodeToString(sum[:]), made["key_sha256"])

	code, _, _ = runCommand(t, &fakeOperator{}, "check-settings", "entry", "../settings/entry.ini")
	require.Equal(t, ExitSuccess, code)
	code, _, stderr := runCommand(t, &fakeOperator{}, "check-settings", "control", "../settings/entry.ini")
	require.Equal(t, ExitFailure, code)
	require.Contains(t, stderr, "[listen] caller: unknown key")
}

// Guards against daemons that are not reached, or whose failure looks like wrong usage.
func TestDaemon(t *testing.T) {
	var got string
	run := func(args ...string) ExitCode {
		entry := Daemon("entry", "serves callers", func(_ context.Context, path string) error {
			got = path
			return os.ErrPermission
		})
		app := &App{Stdout: &bytes.Buffer{}, Stderr: &bytes.Buffer{}, Daemons: []*cli.Command{entry}}
		return app.Run(t.Context(), append([]string{"chestnutlead"}, args...))
	}
	require.Equal(t, ExitFailure, run("entry", "--settings", "e.ini"))
	require.Equal(t, "e.ini", got)
	require.Equal(t, ExitUsage, run("entry"))
}
