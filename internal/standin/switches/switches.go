// Package switches sets the fields of a stand-in's Switches struct from the query string of a control call.
package switches

import (
	"fmt"
	"net/http"
	"reflect"
	"strconv"
	"time"
)

// Apply sets the fields of the struct behind p that the query of r names. A field is a bool, an int, a float64, a string or a
// time.Duration. When a name is
// unknown or a value is wrong, nothing is set.
func Apply[T any](p *T, r *http.Request) error {
	next := *p
	fields := reflect.ValueOf(&next).Elem()
	for name, texts := range r.URL.Query() {
		f := fields.FieldByName(name)
		if !f.IsValid() {
			return fmt.Errorf("the switch %s is unknown", name)
		}
		for _, text := range texts {
			if err := set(f, text); err != nil {
				return fmt.Errorf("the switch %s cannot be %q: %w", name, text, err)
			}
		}
	}
	*p = next
	return nil
}

func set(f reflect.Value, text string) error {
	v, err := parse(f.Interface(), text)
	if err != nil {
		return err
	}
	f.Set(reflect.ValueOf(v))
	return nil
}

// parse returns the value of text in the type of old.
func parse(old any, text string) (any, error) {
	switch old.(type) {
	case bool:
		return strconv.ParseBool(text)
	case int:
		return strconv.Atoi(text)
	case float64:
		return strconv.ParseFloat(text, 64)
	case time.Duration:
		return time.ParseDuration(text)
	case string:
		return text, nil
	default:
		return nil, fmt.Errorf("a field of type %T cannot be set", old)
	}
}
