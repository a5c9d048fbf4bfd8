package wire

import "reflect"

// clearEmpty replaces empty slices with nil, except in fields named Answer: the wire
// form distinguishes an empty Answer from none. It also replaces nil pointers in
// lists with pointers to zero values, because no sender produces nil pointers there.
func clearEmpty(v any) { clearValue(reflect.ValueOf(v).Elem(), "") }

func clearValue(v reflect.Value, field string) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			clearValue(v.Elem(), field)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			clearValue(v.Field(i), v.Type().Field(i).Name)
		}
	case reflect.Slice:
		clearSlice(v, field)
	}
}

func clearSlice(v reflect.Value, field string) {
	if v.Len() == 0 && field != "Answer" {
		v.SetZero()
		return
	}
	for i := range v.Len() {
		if v.Index(i).Kind() == reflect.Pointer && v.Index(i).IsNil() {
			v.Index(i).Set(reflect.New(v.Type().Elem().Elem()))
		}
		clearValue(v.Index(i), "")
	}
}
