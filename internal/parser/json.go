package parser

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"reflect"
	"time"
)

// EncodeJSON returns the set as a JSON array of objects with the same fields as EncodeYAML. Decode turns the result into an equal
// set.
func EncodeJSON(set Set) []byte {
	var b bytes.Buffer
	b.WriteByte('[')
	for i, o := range set {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`{"Kind":`)
		writeJSONScalar(&b, o.ObjectKind())
		writeJSONFields(&b, reflect.ValueOf(o), true)
		b.WriteByte('}')
	}
	b.WriteByte(']')
	return b.Bytes()
}

// writeJSONFields writes the fields of a struct without the enclosing braces. If needsComma is true, the first field is preceded
// by a comma, because the caller has already written another field.
func writeJSONFields(b *bytes.Buffer, v reflect.Value, needsComma bool) {
	for i := range v.NumField() {
		f := v.Field(i)
		if f.IsZero() && !isAlwaysEncoded(v.Type(), i) {
			continue
		}
		if needsComma {
			b.WriteByte(',')
		}
		needsComma = true
		writeJSONScalar(b, v.Type().Field(i).Name)
		b.WriteByte(':')
		writeJSONValue(b, f)
	}
}

func writeJSONValue(b *bytes.Buffer, v reflect.Value) {
	switch x := v.Interface().(type) {
	case time.Duration:
		writeJSONScalar(b, x.String())
		return
	case time.Time:
		writeJSONScalar(b, x.UTC().Format(time.RFC3339Nano))
		return
	case netip.AddrPort:
		writeJSONScalar(b, x.String())
		return
	}
	switch v.Kind() {
	case reflect.Slice:
		b.WriteByte('[')
		for i := range v.Len() {
			if i > 0 {
				b.WriteByte(',')
			}
			writeJSONValue(b, v.Index(i))
		}
		b.WriteByte(']')
	case reflect.Struct:
		b.WriteByte('{')
		writeJSONFields(b, v, false)
		b.WriteByte('}')
	default:
		writeJSONScalar(b, v.Interface())
	}
}

// writeJSONScalar writes a string or a number. Encoding these types cannot fail.
func writeJSONScalar(b *bytes.Buffer, x any) {
	text, _ := json.Marshal(x)
	b.Write(text)
}
