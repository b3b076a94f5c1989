package messenger

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkCompressBatch compresses and decompresses batches of the usual size and reports the
// compression ratio.
func BenchmarkCompressBatch(b *testing.B) {
	c, d := newBatchCompressor(), newBatchDecompressor()
	batch := func() (out []byte) {
		for range 4 {
			out = fmt.Appendf(out, "i-%010x 10.1.0.%d:8787 %016x\x00\x01\x02\x03 spec of a job", rand.IntN(200)*7919, rand.IntN(200), rand.IntN(1000)*104729)
		}
		return out
	}
	size, compressed := 0, 0
	for b.Loop() {
		content := batch()
		data := c.compress(content)
		size, compressed = size+len(content), compressed+len(data)
		if _, err := d.decompress(data, len(content)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(compressed)/float64(size), "packed/byte")
}
