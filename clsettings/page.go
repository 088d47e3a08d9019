// This file defines the settings page, which is written from the schema.

package clsettings

import (
	"fmt"
	"io"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const pageHead = `# Settings

This page is written from ` + "`clsettings/settings.proto`" + ` by ` + "`make generate`" + `; don't edit it.

Settings files are INI files: ` + "`[section]`" + ` headers and ` + "`key = value`" + ` lines. Durations are written ` + "`250ms`" + `, sizes
` + "`256KB`" + ` (1 KB is 1,024 bytes), addresses ` + "`10.0.0.7:7000`" + `; items of a list are separated by commas. Relative paths start
at the directory of the settings file. Every fault of a file is reported at once:
` + "`chestnutlead check-settings entry FILE`" + ` checks a file without starting the process.
`

// kindNames are the kinds as the page names them.
var kindNames = map[Kind]string{
	Kind_KIND_DURATION: "duration", Kind_KIND_ADDRESS: "address", Kind_KIND_SIZE: "size",
	Kind_KIND_COUNT: "count", Kind_KIND_BOOL: "bool", Kind_KIND_TEXT: "text", Kind_KIND_URL: "URL",
	Kind_KIND_SECRET: "secret", Kind_KIND_SECRET_FILE: "file",
}

// WritePage writes docs/settings.md.
func WritePage(w io.Writer) error {
	var b strings.Builder
	b.WriteString(pageHead)
	writeRole(&b, "chestnutlead entry", "settings/entry.ini", &EntrySettings{})
	writeRole(&b, "chestnutlead control", "settings/control.ini", &ControlSettings{})
	_, err := io.WriteString(w, b.String())
	return err
}

func writeRole(b *strings.Builder, command, sample string, m proto.Message) {
	fmt.Fprintf(b, "\n## `%s`\n\nSample: `%s`.\n", command, sample)
	sections := m.ProtoReflect().Descriptor().Fields()
	for i := range sections.Len() {
		fd := sections.Get(i)
		fmt.Fprintf(b, "\n### [%s]\n\n%s\n\n", fd.Name(), proto.GetExtension(fd.Options(), E_SectionDoc))
		b.WriteString("| key | kind | default | range | meaning |\n|---|---|---|---|---|\n")
		keys := fd.Message().Fields()
		for j := range keys.Len() {
			writeKey(b, keys.Get(j))
		}
	}
}

func writeKey(b *strings.Builder, fd protoreflect.FieldDescriptor) {
	rule := RuleOf(fd)
	kind := kindNames[rule.GetKind()]
	if fd.IsList() {
		kind = "list of " + kind
	}
	preset := rule.GetDefault()
	if rule.GetRequired() {
		preset = "required"
	}
	fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", fd.Name(), kind, preset, rangeText(rule), rule.GetDoc())
}

func rangeText(rule *Rule) string {
	var parts []string
	switch {
	case len(rule.GetValues()) > 0:
		parts = append(parts, strings.Join(rule.GetValues(), ", "))
	case rule.GetKind() == Kind_KIND_SECRET:
		parts = append(parts, fmt.Sprintf("%s to %s characters", rule.GetMin(), rule.GetMax()))
	case rule.GetMin() != "":
		parts = append(parts, fmt.Sprintf("%s to %s", rule.GetMin(), rule.GetMax()))
	}
	if rule.GetBelow() != "" {
		parts = append(parts, "below "+rule.GetBelow())
	}
	return strings.Join(parts, "; ")
}
