package loader

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"

	"github.com/tailscale/hujson"

	"damaskpick.example/damaskpick/internal/findings/collector"
)

// decoder fills Go values from a syntax tree. Unlike encoding/json, it continues after an invalid value, and it records the offset of each
// field, so that later checks can report its position.
type decoder struct {
	findings *collector.Collector
	// offsets maps the path of every field in the file to the offset of its value.
	offsets map[string]int
	// undecoded holds the paths whose values were not decoded; later checks skip them.
	undecoded map[string]bool
}

// addUndecoded adds a finding for a value that is not decoded.
func (d *decoder) addUndecoded(path string, offset int, format string, args ...any) {
	d.undecoded[path] = true
	d.findings.Add(offset, path, format, args...)
}

func (d *decoder) decode(path string, node hujson.Value, target reflect.Value) {
	d.offsets[path] = node.StartOffset
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, node, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, node, target)
	case reflect.Slice:
		d.decodeSlice(path, node, target)
	default:
		d.decodeLiteral(path, node, target)
	}
}

func (d *decoder) decodeText(path string, node hujson.Value, target encoding.TextUnmarshaler) {
	literal, ok := node.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.addUndecoded(path, node.StartOffset, "must be a text such as \"2.5s\", not %s", kindName(node))
		return
	}
	if err := target.UnmarshalText([]byte(literal.String())); err != nil {
		d.addUndecoded(path, node.StartOffset, "%q is not a duration; write a number with a unit, such as \"2.5s\" or \"10m\"", literal.String())
	}
}

func (d *decoder) decodeStruct(path string, node hujson.Value, target reflect.Value) {
	object, ok := node.Value.(*hujson.Object)
	if !ok {
		d.addUndecoded(path, node.StartOffset, "must be an object, not %s", kindName(node))
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field := join(path, name)
		value := target.FieldByName(name)
		switch {
		case !value.IsValid():
			d.addUndecoded(field, member.Name.StartOffset, "unknown field")
		case seen[name]:
			d.addUndecoded(field, member.Name.StartOffset, "given twice")
		default:
			seen[name] = true
			d.decode(field, member.Value, value)
		}
	}
}

func (d *decoder) decodeSlice(path string, node hujson.Value, target reflect.Value) {
	array, ok := node.Value.(*hujson.Array)
	if !ok {
		d.addUndecoded(path, node.StartOffset, "must be a list, not %s", kindName(node))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(path+"["+strconv.Itoa(i)+"]", element, target.Index(i))
	}
}

func (d *decoder) decodeLiteral(path string, node hujson.Value, target reflect.Value) {
	literal, ok := node.Value.(hujson.Literal)
	if ok && literal.Kind() == 'n' {
		ok = false
	}
	if !ok || json.Unmarshal(literal, target.Addr().Interface()) != nil {
		d.addUndecoded(path, node.StartOffset, "must be %s, not %s", typeName(target.Kind()), kindName(node))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func typeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a number"
	}
}

// kindName describes a value for a finding. It does not repeat texts, because a token pasted into the wrong field must not reach a
// log.
func kindName(node hujson.Value) string {
	switch node.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a text"
	default:
		return fmt.Sprint(node.Value)
	}
}
