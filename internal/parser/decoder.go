package parser

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
)

// Fault is one error found while decoding a file.
type Fault struct {
	File string
	// Line is the line number, counted from 1, or 0 when the fault has no position in the file.
	Line int
	// Field is the path of the field within its object, for example "Shares[1].Percent". It is empty when the fault concerns the
	// whole object or the syntax of the file.
	Field   string
	Message string
}

// String returns the fault as "file:line: field: message", or as "file:line: message" when Field is empty.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// DecodeError is the error that Decode returns. It lists every fault that was found in the file.
type DecodeError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *DecodeError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// prototypes contains one zero value of each kind, in canonical order.
var prototypes = []Object{
	AvailabilityZone{},
	Policy{},
	Application{},
	Service{},
	Version{},
	BackendServer{},
	Split{},
	Move{},
}

// Kinds returns the names of all kinds in canonical order.
func Kinds() []string {
	kinds := make([]string, 0, len(prototypes))
	for _, p := range prototypes {
		kinds = append(kinds, p.ObjectKind())
	}
	return kinds
}

// enumValues maps the string types with a fixed set of values to their accepted values.
var enumValues = map[reflect.Type][]string{
	reflect.TypeFor[ZoneState](): {string(ZoneInService), string(ZoneOutOfService)},
	reflect.TypeFor[RouteKind](): {string(RouteSearch), string(RouteOperation)},
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
)

// Decode parses a set from JSON or from YAML with one or more documents. Each document is one object or a list of objects. The
// name in file is only used in faults. The error is a *DecodeError that lists every fault; the returned set is nil in that case.
// Decode checks the syntax, the names of the fields and the formats of their values; package validator checks the rest.
func Decode(file string, data []byte) (set Set, err error) {
	d := &decoder{
		file: file,
	}
	// The YAML library may panic on malformed input, and the input is untrusted.
	defer func() {
		if r := recover(); r != nil {
			d.addFault(nil, "", "the file cannot be parsed")
			set, err = nil, &DecodeError{
				Faults: d.faults,
			}
		}
	}()
	d.decode(data)
	if len(d.faults) > 0 {
		return nil, &DecodeError{
			Faults: d.faults,
		}
	}
	return d.set, nil
}

type decoder struct {
	file   string
	set    Set
	faults []Fault
}

func (d *decoder) addFault(n ast.Node, field, format string, args ...any) {
	line := 0
	if n != nil && n.GetToken() != nil {
		line = n.GetToken().Position.Line
	}
	d.faults = append(d.faults, Fault{
		File:    d.file,
		Line:    line,
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) decode(data []byte) {
	f, err := yamlparser.ParseBytes(data, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxFault(err)
		return
	}
	for _, doc := range f.Docs {
		d.decodeDocument(doc.Body)
	}
}

func (d *decoder) addSyntaxFault(err error) {
	f := Fault{
		File:    d.file,
		Message: "the file cannot be parsed",
	}
	var syntaxErr yaml.Error
	if errors.As(err, &syntaxErr) {
		f.Message = syntaxErr.GetMessage()
		if t := syntaxErr.GetToken(); t != nil {
			f.Line = t.Position.Line
		}
	}
	d.faults = append(d.faults, f)
}

func (d *decoder) decodeDocument(n ast.Node) {
	switch n := n.(type) {
	case nil, *ast.NullNode, *ast.CommentGroupNode:
	case *ast.SequenceNode:
		for _, item := range n.Values {
			d.decodeObject(item)
		}
	default:
		d.decodeObject(n)
	}
}

func (d *decoder) decodeObject(n ast.Node) {
	pairs, ok := mappingPairs(n)
	if !ok {
		d.addFault(n, "", "expected an object, got %s", nodeTypeName(n))
		return
	}
	kind, known := d.decodeKind(n, pairs)
	if !known {
		return
	}
	v := reflect.New(reflect.TypeOf(kind)).Elem()
	otherPairs := slices.DeleteFunc(slices.Clone(pairs), func(p *ast.MappingValueNode) bool { return pairKey(p) == "Kind" })
	faultsBefore := len(d.faults)
	d.decodeFields(otherPairs, v, "")
	if o, ok := v.Interface().(Object); ok && len(d.faults) == faultsBefore {
		d.set = append(d.set, o)
	}
}

func (d *decoder) decodeKind(n ast.Node, pairs []*ast.MappingValueNode) (Object, bool) {
	var kindPairs []*ast.MappingValueNode
	for _, p := range pairs {
		if pairKey(p) == "Kind" {
			kindPairs = append(kindPairs, p)
		}
	}
	if len(kindPairs) == 0 {
		d.addFault(n, "Kind", "the field is missing")
		return nil, false
	}
	if len(kindPairs) > 1 {
		d.addFault(kindPairs[1], "Kind", "the field is given twice")
	}
	text, ok := stringValue(kindPairs[0].Value)
	if !ok {
		d.addFault(kindPairs[0].Value, "Kind", "expected a string, got %s", nodeTypeName(kindPairs[0].Value))
		return nil, false
	}
	for _, p := range prototypes {
		if p.ObjectKind() == text {
			return p, true
		}
	}
	d.addFault(kindPairs[0].Value, "Kind", "the kind %q is unknown; known: %s", text, strings.Join(Kinds(), ", "))
	return nil, false
}

func (d *decoder) decodeFields(pairs []*ast.MappingValueNode, v reflect.Value, path string) {
	seen := map[string]bool{}
	for _, p := range pairs {
		name := pairKey(p)
		field := path + name
		target := v.FieldByName(name)
		switch {
		case !target.IsValid():
			d.addFault(p, field, "the field is unknown")
		case seen[name]:
			d.addFault(p, field, "the field is given twice")
		default:
			d.decodeValue(p.Value, target, field)
		}
		seen[name] = true
	}
}

func (d *decoder) decodeValue(n ast.Node, v reflect.Value, path string) {
	switch {
	case v.Type() == durationType, v.Type() == timeType, v.Type() == addressType:
		d.decodeScalar(n, v, path)
	case v.Kind() == reflect.String:
		d.decodeScalar(n, v, path)
	case v.Kind() == reflect.Int:
		d.decodeInteger(n, v, path)
	case v.Kind() == reflect.Slice:
		d.decodeList(n, v, path)
	case v.Kind() == reflect.Struct:
		pairs, ok := mappingPairs(n)
		if !ok {
			d.addFault(n, path, "expected a mapping, got %s", nodeTypeName(n))
			return
		}
		d.decodeFields(pairs, v, path+".")
	}
}

func (d *decoder) decodeList(n ast.Node, v reflect.Value, path string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addFault(n, path, "expected a list, got %s", nodeTypeName(n))
		return
	}
	if len(seq.Values) == 0 {
		return
	}
	list := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.decodeValue(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(list)
}

func (d *decoder) decodeInteger(n ast.Node, v reflect.Value, path string) {
	if i, ok := n.(*ast.IntegerNode); ok {
		switch x := i.Value.(type) {
		case int64:
			v.SetInt(x)
			return
		case uint64:
			if x <= 1<<62 {
				v.SetInt(int64(x))
				return
			}
		}
		d.addFault(n, path, "the number is out of range")
		return
	}
	d.addFault(n, path, "expected an integer, got %s", nodeTypeName(n))
}

func (d *decoder) decodeScalar(n ast.Node, v reflect.Value, path string) {
	text, ok := stringValue(n)
	if !ok {
		d.addFault(n, path, "expected %s, got %s", expectedFormat(v.Type()), nodeTypeName(n))
		return
	}
	if err := setScalar(v, text); err != nil {
		d.addFault(n, path, "%q is not %s", text, expectedFormat(v.Type()))
	}
}

// expectedFormat describes the text that is accepted for a value of type t, for use in messages of faults.
func expectedFormat(t reflect.Type) string {
	switch t {
	case durationType:
		return `a duration such as "130ms"`
	case timeType:
		return "a time in RFC 3339 format"
	case addressType:
		return `an address such as "127.0.0.1:21000"`
	}
	if c, ok := enumValues[t]; ok {
		return "one of " + strings.Join(c, ", ")
	}
	return "a string"
}

var errUnknownEnumValue = errors.New("the value is not one of the accepted values")

func setScalar(v reflect.Value, text string) error {
	switch v.Type() {
	case durationType:
		x, err := time.ParseDuration(text)
		v.SetInt(int64(x))
		return err
	case timeType:
		x, err := time.Parse(time.RFC3339, text)
		v.Set(reflect.ValueOf(x.UTC()))
		return err
	case addressType:
		x, err := netip.ParseAddrPort(text)
		v.Set(reflect.ValueOf(x))
		return err
	}
	if c, ok := enumValues[v.Type()]; ok && !slices.Contains(c, text) {
		return errUnknownEnumValue
	}
	v.SetString(text)
	return nil
}

// mappingPairs returns the key-value pairs of a mapping node. It returns false for nodes of other types. The YAML library
// represents a mapping with a single pair by that pair itself.
func mappingPairs(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func pairKey(p *ast.MappingValueNode) string {
	if s, ok := p.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return p.Key.String()
}

func stringValue(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

// nodeTypeName describes the type of a node for use in messages of faults.
func nodeTypeName(n ast.Node) string {
	switch n.(type) {
	case nil, *ast.NullNode:
		return "null"
	case *ast.StringNode, *ast.LiteralNode:
		return "a string"
	case *ast.IntegerNode:
		return "an integer"
	case *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a floating-point number"
	case *ast.BoolNode:
		return "a boolean"
	case *ast.SequenceNode:
		return "a list"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		return "an anchor or alias"
	case *ast.TagNode:
		return "a tag"
	default:
		return "a value of another type"
	}
}
