// This file defines the client of the operators' API and its flags.

package clcommand

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/chestnutlead/chestnutlead/internal/serving/clframing"
	"github.com/twitchtv/twirp"
	"github.com/urfave/cli/v3"
)

// session is one command's access to the operators' API.
type session struct {
	clwire.Operator
	operator string
	timeout  time.Duration
	header   http.Header
}

const (
	defaultTimeout = 10 * time.Second
	tokenVariable  = "CHESTNUTLEAD_TOKEN"
)

func clientFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "server", Usage: "`URL` of the operators' API", Value: "http://127.0.0.1:8090",
			Sources: cli.EnvVars("CHESTNUTLEAD_SERVER")},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the operator's token; the token itself may be in " + tokenVariable,
			Sources: cli.EnvVars("CHESTNUTLEAD_TOKEN_FILE")},
		&cli.StringFlag{Name: "operator", Usage: "`NAME` under which changes are recorded",
			Sources: cli.EnvVars("CHESTNUTLEAD_OPERATOR", "USER")},
		&cli.DurationFlag{Name: "timeout", Usage: "limit of one call", Value: defaultTimeout,
			Sources: cli.EnvVars("CHESTNUTLEAD_TIMEOUT")},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT`: table or json", Value: "table",
			Sources: cli.EnvVars("CHESTNUTLEAD_OUTPUT"),
			Validator: func(s string) error {
				if s != "table" && s != "json" {
					return usagef("output format %q is unknown; use table or json", s)
				}
				return nil
			}},
	}
}

// open returns a session with the server and token that the flags name.
func open(cmd *cli.Command) (*session, error) {
	server := cmd.String("server")
	u, err := url.Parse(server)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, usagef("--server %q is not a URL; write one as http://10.0.0.7:8090", server)
	}
	token, err := readToken(cmd)
	if err != nil {
		return nil, err
	}
	// A redirect is refused, because it would carry the token and a change to another server.
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if u.Scheme == "http" {
		transport.DialContext = clframing.Dial(transport.DialContext)
	}
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return &session{
		Operator: clwire.NewOperatorProtobufClient(server, client),
		operator: cmd.String("operator"),
		timeout:  cmd.Duration("timeout"),
		header:   http.Header{"Authorization": {"Bearer " + token}},
	}, nil
}

// readToken takes no flag with the token itself, because other users can read a process's arguments.
func readToken(cmd *cli.Command) (string, error) {
	path := cmd.String("token-file")
	token := os.Getenv(tokenVariable)
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return "", &Error{Code: ExitUsage, Reason: "token file", Err: err, Remedy: "name a readable file with --token-file"}
		}
		token = string(content)
	}
	token = strings.TrimSpace(token)
	if token == "" {
		return "", usagef("no operator's token; pass --token-file or set %s", tokenVariable)
	}
	return token, nil
}

// context returns the context of one call, with the credential and the time limit.
func (s *session) context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	if withHeader, err := twirp.WithHTTPRequestHeaders(ctx, s.header); err == nil {
		ctx = withHeader
	}
	return ctx, cancel
}

// invoke makes one call of the operators' API; c explains its failure.
func invoke[In, Out any](ctx context.Context, s *session, c call, f func(context.Context, In) (Out, error), in In) (Out, error) {
	ctx, cancel := s.context(ctx)
	defer cancel()
	out, err := f(ctx, in)
	if err != nil {
		return out, c.fail(err)
	}
	return out, nil
}
