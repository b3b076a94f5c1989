package main

import "math/rand/v2"

func init() {
	// cells2 is soak with two cells, as a large deployment has, and less room.
	cases["cells2"] = func(r *rig, x *rand.Rand) bool {
		r.s.mu.Lock()
		p := r.s.part("keyed.layout", 0)
		p.add([]byte("cells"), []byte{0xa1, 0x01, 0x02})
		r.s.mu.Unlock()
		capacityOfSoak = size{9000, 24000, 0}
		return cases["soak"](r, x)
	}
}
