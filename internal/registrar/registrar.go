// Package registrar provides a registry of named plug-ins, such as placement strategies, which
// register themselves in init functions.
package registrar

import (
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"
)

// ErrNotRegistered marks the error of Get for an unknown name.
var ErrNotRegistered = errors.New("not registered")

// Registry maps names to plug-ins of one type. The zero value is an empty registry. It has no lock:
// Add must only be called before main starts, after which the registry is read-only.
type Registry[T any] struct{ byName map[string]T }

// Add registers a plug-in. It panics if the name is already registered.
func (r *Registry[T]) Add(name string, plugin T) {
	if r.byName == nil {
		r.byName = map[string]T{}
	}
	if _, taken := r.byName[name]; taken {
		panic(fmt.Sprintf("plug-in %q is registered twice", name))
	}
	r.byName[name] = plugin
}

// Get returns the plug-in registered under name, or an error marked ErrNotRegistered that lists the
// registered names.
func (r *Registry[T]) Get(name string) (T, error) {
	plugin, ok := r.byName[name]
	if !ok {
		return plugin, errors.Mark(errors.Newf("no plug-in %q is registered, only %v", name, r.Names()), ErrNotRegistered)
	}
	return plugin, nil
}

// Names returns the registered names in ascending order.
func (r *Registry[T]) Names() []string {
	out := make([]string, 0, len(r.byName))
	for name := range r.byName {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
