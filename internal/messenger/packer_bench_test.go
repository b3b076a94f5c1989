package messenger

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkPack measures a batch of the usual size on its way through both ends.
func BenchmarkPack(b *testing.B) {
	p, u := newPacker(), newUnpacker()
	batch := func() (out []byte) {
		for range 4 {
			out = fmt.Appendf(out, "i-%010x 10.1.0.%d:8787 %016x\x00\x01\x02\x03 spec of a job", rand.IntN(200)*7919, rand.IntN(200), rand.IntN(1000)*104729)
		}
		return out
	}
	size, packed := 0, 0
	for b.Loop() {
		content := batch()
		data := p.pack(content)
		size, packed = size+len(content), packed+len(data)
		if _, err := u.unpack(data, len(content)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(packed)/float64(size), "packed/byte")
}
