// This file defines how a configuration file is read.

package clcommand

import (
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clwire"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// sha256HexLength is the length of a SHA-256 in hexadecimal.
const sha256HexLength = 64

// decodeConfig reads YAML or JSON, of which YAML is a superset. Beyond
// protobuf's JSON it takes durations as "24h", hashes in hexadecimal, and enum
// values without their prefix, as "refuse". Unknown names are errors.
func decodeConfig(text []byte) (*clwire.ApplyRequest, error) {
	const remedy = "write services, data_centres and accounts with the names of clstate/state.proto"
	var tree any
	if err := yaml.Unmarshal(text, &tree); err != nil {
		return nil, &Error{Code: ExitFailure, Reason: "configuration file", Err: err, Remedy: "write YAML or JSON"}
	}
	fields, ok := tree.(map[string]any)
	if !ok {
		return nil, &Error{Code: ExitFailure, Reason: "configuration file holds no object", Remedy: remedy}
	}
	req := &clwire.ApplyRequest{}
	normalizeMessage(req.ProtoReflect().Descriptor(), fields)
	normal, err := json.Marshal(fields)
	if err == nil {
		err = protojson.Unmarshal(normal, req)
	}
	if err != nil {
		return nil, &Error{Code: ExitFailure, Reason: "configuration file", Err: err, Remedy: remedy}
	}
	return req, nil
}

func normalizeMessage(md protoreflect.MessageDescriptor, fields map[string]any) {
	for name, v := range fields {
		fd := md.Fields().ByName(protoreflect.Name(name))
		if fd == nil {
			fd = md.Fields().ByJSONName(name)
		}
		if fd == nil {
			continue
		}
		if list, ok := v.([]any); ok {
			for i := range list {
				list[i] = normalizeValue(fd, list[i])
			}
			continue
		}
		fields[name] = normalizeValue(fd, v)
	}
}

func normalizeValue(fd protoreflect.FieldDescriptor, v any) any {
	if nested, ok := v.(map[string]any); ok && fd.Message() != nil {
		normalizeMessage(fd.Message(), nested)
		return nested
	}
	text, ok := v.(string)
	if !ok {
		return v
	}
	switch {
	case fd.Enum() != nil:
		return longEnum(fd.Enum(), text)
	case fd.Kind() == protoreflect.BytesKind && len(text) == sha256HexLength:
		if sum, err := hex.DecodeString(text); err == nil {
			return base64.StdEncoding.EncodeToString(sum)
		}
	case fd.Message() != nil && fd.Message().FullName() == "google.protobuf.Duration":
		if d, err := time.ParseDuration(text); err == nil {
			// Marshalling a valid duration cannot fail.
			seconds, _ := protojson.Marshal(durationpb.New(d))
			return json.RawMessage(seconds)
		}
	}
	return v
}

// longEnum adds the prefix that all values of an enum share with its zero value.
func longEnum(ed protoreflect.EnumDescriptor, text string) string {
	prefix := strings.TrimSuffix(string(ed.Values().ByNumber(0).Name()), "UNSPECIFIED")
	name := prefix + strings.ToUpper(text)
	if ed.Values().ByName(protoreflect.Name(name)) != nil {
		return name
	}
	return text
}
