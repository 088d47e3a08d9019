// This file defines the loader of settings files.

package clsettings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"
)

type loader struct {
	file     string
	root     protoreflect.Message
	problems []Problem
}

// iniOptions keep values literal: no interpolation, no continuation lines, and
// ":" only as part of a value. Keys set twice are kept so that they can be reported.
var iniOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// LoadEntry reads the settings file of an entry process; all problems of the
// file are returned together in an *Error.
func LoadEntry(path string) (*EntrySettings, error) {
	s := &EntrySettings{}
	return s, load(path, s)
}

// LoadControl reads the settings file of a control process; all problems of
// the file are returned together in an *Error.
func LoadControl(path string) (*ControlSettings, error) {
	s := &ControlSettings{}
	return s, load(path, s)
}

// ParseEntry reads the settings of an entry process from text; path stands in
// for the file in messages and is the base of relative paths.
func ParseEntry(path string, text []byte) (*EntrySettings, error) {
	s := &EntrySettings{}
	return s, parse(path, text, s)
}

// ParseControl reads the settings of a control process from text, as ParseEntry does.
func ParseControl(path string, text []byte) (*ControlSettings, error) {
	s := &ControlSettings{}
	return s, parse(path, text, s)
}

func load(path string, m proto.Message) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return &Error{Problems: []Problem{{File: path, Reason: "cannot be read: " + err.Error(),
			Remedy: "name a readable settings file; settings/ holds samples"}}}
	}
	return parse(path, text, m)
}

func parse(path string, text []byte, m proto.Message) error {
	l := &loader{file: path, root: m.ProtoReflect()}
	f, err := ini.LoadSources(iniOptions, text)
	if err != nil {
		// The library's message can span lines; a problem takes one.
		cause := strings.Join(strings.Fields(err.Error()), " ")
		l.report("", "", "is not an INI file: "+cause, `write "[section]" and "key = value" lines`)
		return &Error{Problems: l.problems}
	}
	l.reportUnknown(f)
	sections := l.root.Descriptor().Fields()
	for i := range sections.Len() {
		l.readSection(f, sections.Get(i))
	}
	l.checkOrder()
	l.checkMeaning(m)
	if len(l.problems) > 0 {
		return &Error{Problems: l.problems}
	}
	return nil
}

func (l *loader) report(section, key, reason, remedy string) {
	l.problems = append(l.problems, Problem{File: l.file, Section: section, Key: key, Reason: reason, Remedy: remedy})
}

// reportUnknown reports sections and keys that the schema lacks.
func (l *loader) reportUnknown(f *ini.File) {
	sections := l.root.Descriptor().Fields()
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				l.report("", k.Name(), "the key stands before any section", "move it below the header of its section")
			}
			continue
		}
		fd := sections.ByName(protoreflect.Name(s.Name()))
		if fd == nil {
			l.report(s.Name(), "", "unknown section", "use one of "+fieldNames(sections))
			continue
		}
		keys := fd.Message().Fields()
		for _, k := range s.Keys() {
			if keys.ByName(protoreflect.Name(k.Name())) == nil {
				l.report(s.Name(), k.Name(), "unknown key", "use one of "+fieldNames(keys))
			}
		}
	}
}

func (l *loader) readSection(f *ini.File, section protoreflect.FieldDescriptor) {
	name := string(section.Name())
	values, _ := f.GetSection(name)
	m := l.root.Mutable(section).Message()
	keys := section.Message().Fields()
	for i := range keys.Len() {
		fd := keys.Get(i)
		rule := RuleOf(fd)
		text := rule.GetDefault()
		if values != nil && hasOwnKey(values, string(fd.Name())) {
			set := values.Key(string(fd.Name())).ValueWithShadows()
			if len(set) > 1 {
				l.report(name, string(fd.Name()), fmt.Sprintf("set %d times", len(set)), "keep one of the lines")
			}
			text = strings.TrimSpace(set[0])
			if text == "" && rule.GetDefault() != "" {
				l.report(name, string(fd.Name()), "empty value",
					"set a value, or remove the line to get "+rule.GetDefault())
				continue
			}
		}
		if text != "" {
			l.setField(name, m, fd, rule, text)
		}
	}
	l.readSecretFiles(name, m)
	l.checkRequired(name, m)
}

// hasOwnKey leaves out the keys that the INI library takes over from parent sections.
func hasOwnKey(s *ini.Section, key string) bool {
	for _, name := range s.KeyStrings() {
		if name == key {
			return true
		}
	}
	return false
}

func (l *loader) setField(section string, m protoreflect.Message, fd protoreflect.FieldDescriptor, rule *Rule, text string) {
	items := []string{text}
	if fd.IsList() {
		items = splitList(text)
	}
	for _, item := range items {
		v, err := parseValue(rule, item)
		if err != nil {
			l.report(section, string(fd.Name()), err.reason, err.remedy)
			continue
		}
		if fd.IsList() {
			m.Mutable(fd).List().Append(v)
		} else {
			m.Set(fd, v)
		}
	}
}

// readSecretFiles replaces each empty secret by the content of its file.
// Relative paths start at the directory of the settings file.
func (l *loader) readSecretFiles(section string, m protoreflect.Message) {
	keys := m.Descriptor().Fields()
	for i := range keys.Len() {
		fd := keys.Get(i)
		path := ""
		if RuleOf(fd).GetKind() == Kind_KIND_SECRET_FILE {
			path = m.Get(fd).String()
		}
		if path == "" {
			continue
		}
		target := keys.ByName(protoreflect.Name(strings.TrimSuffix(string(fd.Name()), "_file")))
		if m.Has(target) {
			l.report(section, string(fd.Name()), "set together with "+string(target.Name()), "keep one of the two keys")
			continue
		}
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(l.file), path)
		}
		content, err := os.ReadFile(path)
		if err != nil {
			l.report(section, string(fd.Name()), "cannot be read: "+err.Error(), "name a file that this process may read")
			continue
		}
		text := strings.TrimSpace(string(content))
		if target.IsList() {
			text = strings.Join(strings.Fields(text), ",")
		}
		l.setField(section, m, target, RuleOf(target), text)
	}
}

// checkRequired reports required keys that have neither a value nor a problem of their own.
func (l *loader) checkRequired(section string, m protoreflect.Message) {
	keys := m.Descriptor().Fields()
	for i := range keys.Len() {
		fd := keys.Get(i)
		rule := RuleOf(fd)
		if !rule.GetRequired() || m.Has(fd) || l.hasProblem(section, string(fd.Name())) {
			continue
		}
		remedy := fmt.Sprintf("set it: %s", rule.GetDoc())
		if rule.GetKind() == Kind_KIND_SECRET {
			if l.hasProblem(section, string(fd.Name())+"_file") {
				continue
			}
			remedy = fmt.Sprintf("set it or %s_file: %s", fd.Name(), rule.GetDoc())
		}
		l.report(section, string(fd.Name()), "missing", remedy)
	}
}

func (l *loader) hasProblem(section, key string) bool {
	for _, p := range l.problems {
		if p.Section == section && p.Key == key {
			return true
		}
	}
	return false
}

// splitList splits at commas and leaves out empty items.
func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func fieldNames(fields protoreflect.FieldDescriptors) string {
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	return strings.Join(names, ", ")
}
