// Package registrar keeps named plug-ins that register themselves when the
// program starts.
package registrar

import (
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"
)

// ErrNotRegistered marks a name under which nothing is registered.
var ErrNotRegistered = errors.New("not registered")

// Registry holds plug-ins of one type. The zero value is empty. Plug-ins are
// added before main runs, so that reading needs no lock.
type Registry[T any] struct{ byName map[string]T }

// Add registers a plug-in; a name that is taken is a programming error.
func (r *Registry[T]) Add(name string, plugin T) {
	if r.byName == nil {
		r.byName = map[string]T{}
	}
	if _, taken := r.byName[name]; taken {
		panic(fmt.Sprintf("plug-in %q is registered twice", name))
	}
	r.byName[name] = plugin
}

// Get returns the plug-in of a name; the error is marked ErrNotRegistered.
func (r *Registry[T]) Get(name string) (T, error) {
	plugin, ok := r.byName[name]
	if !ok {
		return plugin, errors.Mark(errors.Newf("no plug-in %q, only %v", name, r.Names()), ErrNotRegistered)
	}
	return plugin, nil
}

// Names returns the registered names in order.
func (r *Registry[T]) Names() []string {
	out := make([]string, 0, len(r.byName))
	for name := range r.byName {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
