package golden

import (
	"fmt"
	"reflect"
	"time"
)

// maxDepth bounds recursive types.
const maxDepth = 12

// epoch is the time of the first filled time value.
var epoch = time.Date(2026, time.March, 1, 8, 0, 0, 0, time.UTC)

// Fill sets each exported field of *value, recursively, to a value that no other field has, so that a field which is
// renamed, moved or left out changes the encoded form. Slices, maps and pointers get one element. Integers of eight bits,
// which are mostly enumerations, are 1. Functions, interfaces and channels stay as they are.
func Fill(value any) {
	f := filler{}
	f.fill(reflect.ValueOf(value).Elem(), 0)
}

type filler struct{ count int }

func (f *filler) next() int {
	f.count++
	return f.count
}

func (f *filler) fill(v reflect.Value, depth int) {
	if depth > maxDepth || !v.CanSet() {
		return
	}
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(epoch.Add(time.Duration(f.next()) * time.Second)))
		return
	case time.Duration:
		v.SetInt(int64(time.Duration(f.next()) * time.Millisecond))
		return
	}
	f.fillKind(v, depth)
}

func (f *filler) fillKind(v reflect.Value, depth int) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("text%d", f.next()))
	case reflect.Int8:
		v.SetInt(1)
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint8:
		v.SetUint(1)
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.Array:
		f.fillArray(v, depth)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0), depth+1)
	case reflect.Map:
		f.fillMap(v, depth)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i), depth+1)
		}
	}
}

func (f *filler) fillArray(v reflect.Value, depth int) {
	for i := range v.Len() {
		if v.Index(i).Kind() == reflect.Uint8 {
			v.Index(i).SetUint(uint64(f.next() % 256))
		} else {
			f.fill(v.Index(i), depth+1)
		}
	}
}

func (f *filler) fillMap(v reflect.Value, depth int) {
	key := reflect.New(v.Type().Key()).Elem()
	element := reflect.New(v.Type().Elem()).Elem()
	f.fill(key, depth+1)
	f.fill(element, depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, element)
}

// Unset returns the paths of the exported fields of value, recursively, that hold their zero value.
func Unset(value any) []string {
	var paths []string
	unset(reflect.ValueOf(value), reflect.TypeOf(value).String(), &paths)
	return paths
}

func unset(v reflect.Value, path string, paths *[]string) {
	if v.IsZero() {
		*paths = append(*paths, path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		unset(v.Elem(), path, paths)
	case reflect.Slice:
		unset(v.Index(0), path+"[0]", paths)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				unset(v.Field(i), path+"."+field.Name, paths)
			}
		}
	}
}
