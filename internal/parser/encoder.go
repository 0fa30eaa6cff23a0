package parser

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// plainScalarPattern matches strings that YAML reads as strings without quotes. Quotes are used in all other cases. Words such as
// "true", "null" or "no" are excluded by reserved.
var plainScalarPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*([./-][A-Za-z0-9]+)*$`)

var reservedWordPattern = regexp.MustCompile(`^(?i:true|false|null|yes|no|on|off|y|n|nan|inf)$`)

// EncodeYAML writes the set in canonical form: one YAML document per object, fields in the order of the Go types, fields with
// zero values left out. Decode of the result returns an equal set.
func EncodeYAML(set Set) []byte {
	var b bytes.Buffer
	for i, o := range set {
		if i > 0 {
			b.WriteString("---\n")
		}
		encodeObject(&b, o)
	}
	return b.Bytes()
}

// Key returns "Kind/Name" of an object, which is unique in a set.
func Key(o Object) string {
	return o.ObjectKind() + "/" + o.ObjectName()
}

// Equal reports whether two objects have the same canonical form.
func Equal(a, b Object) bool {
	return bytes.Equal(EncodeYAML(Set{a}), EncodeYAML(Set{b}))
}

// Sorted returns the set ordered by kind, then by name.
func Sorted(set Set) Set {
	rank := map[string]int{}
	for i, k := range Kinds() {
		rank[k] = i
	}
	sorted := slices.Clone(set)
	slices.SortStableFunc(sorted, func(a, b Object) int {
		if c := cmp.Compare(rank[a.ObjectKind()], rank[b.ObjectKind()]); c != 0 {
			return c
		}
		return cmp.Compare(a.ObjectName(), b.ObjectName())
	})
	return sorted
}

func encodeObject(b *bytes.Buffer, o Object) {
	fmt.Fprintf(b, "Kind: %s\n", o.ObjectKind())
	encodeFields(b, reflect.ValueOf(o), "", "")
}

// encodeFields writes the fields of a struct. The first line begins with first, the others with indent.
func encodeFields(b *bytes.Buffer, v reflect.Value, firstIndent, indent string) {
	for i := range v.NumField() {
		f := v.Field(i)
		if f.IsZero() && !isAlwaysEncoded(v.Type(), i) {
			continue
		}
		b.WriteString(firstIndent)
		firstIndent = indent
		b.WriteString(v.Type().Field(i).Name)
		b.WriteByte(':')
		encodeValue(b, f, indent)
	}
}

// isAlwaysEncoded reports whether field i is written although it is zero. The first field is, so that no object is empty, and
// numbers for which 0 is an ordinary value are.
func isAlwaysEncoded(t reflect.Type, i int) bool {
	return i == 0 || t.Field(i).Name == "Shard" || t.Field(i).Name == "Percent"
}

func encodeValue(b *bytes.Buffer, v reflect.Value, indent string) {
	switch x := v.Interface().(type) {
	case time.Duration:
		fmt.Fprintf(b, " %s\n", x)
		return
	case time.Time:
		fmt.Fprintf(b, " %s\n", strconv.Quote(x.UTC().Format(time.RFC3339Nano)))
		return
	case netip.AddrPort:
		fmt.Fprintf(b, " %s\n", strconv.Quote(x.String()))
		return
	}
	switch v.Kind() {
	case reflect.String:
		fmt.Fprintf(b, " %s\n", encodeString(v.String()))
	case reflect.Int:
		fmt.Fprintf(b, " %d\n", v.Int())
	case reflect.Slice:
		encodeList(b, v, indent)
	}
}

func encodeList(b *bytes.Buffer, v reflect.Value, indent string) {
	if v.Len() == 0 {
		b.WriteString(" []\n")
		return
	}
	b.WriteByte('\n')
	for i := range v.Len() {
		item := v.Index(i)
		if item.Kind() == reflect.Struct {
			encodeFields(b, item, indent+"- ", indent+"  ")
			continue
		}
		b.WriteString(indent + "-")
		encodeValue(b, item, indent+"  ")
	}
}

func encodeString(s string) string {
	if plainScalarPattern.MatchString(s) && !reservedWordPattern.MatchString(s) {
		return s
	}
	return strconv.Quote(s)
}
