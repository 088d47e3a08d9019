// This file defines how results are printed.

package clcommand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// table is a list of rows with a header.
type table struct {
	header []string
	rows   [][]string
}

func wantsJSON(cmd *cli.Command) bool { return cmd.String("output") == "json" }

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

// messageJSON returns compact JSON with the schema's names. The protobuf
// library varies its white space on purpose, so it is compacted again.
func messageJSON(m proto.Message) (json.RawMessage, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = json.Compact(&b, text)
	return b.Bytes(), err
}

func listJSON[T proto.Message](list []T) ([]json.RawMessage, error) {
	items := make([]json.RawMessage, 0, len(list))
	for _, m := range list {
		item, err := messageJSON(m)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

func printMessage(w io.Writer, m proto.Message) error {
	text, err := messageJSON(m)
	if err != nil {
		return err
	}
	return printJSON(w, text)
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// enumText returns an enum's value without its prefix, in lower case.
func enumText(value, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(value, prefix))
}

func stateText(s clstate.PlanState) string { return enumText(s.String(), "PLAN_STATE_") }

func timeText(ts *timestamppb.Timestamp, loc *time.Location) string {
	if ts == nil {
		return "-"
	}
	return ts.AsTime().In(loc).Format(time.RFC3339)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
