package publisher

import (
	"fmt"
	"testing"

	"github.com/balsamcove/balsamcove/internal/encoder"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/parser"
)

// BenchmarkConfigChange measures applying a change of one object and decoding the configuration.
func BenchmarkConfigChange(b *testing.B) {
	for _, objects := range []int{20, 300, 3000} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			p := &Publisher{}
			var all []encoder.StoredObject
			for i := range objects {
				stored, err := EncodeObject(&parser.BatchPool{Kind: parser.KindBatchPool, Name: identifier.Pool(fmt.Sprint("pool-", i)), Team: "billing", Policy: "tallinn"})
				if err != nil {
					b.Fatal(err)
				}
				all = append(all, stored)
			}
			p.Apply(encoder.Publish{Publication: "all", Upserts: all})
			data, err := encoder.Encode([]encoder.Record{encoder.NewRecord(encoder.Publish{Publication: "p-00000000-0000-0000-0000-000000000000", Upserts: all[:1]})})
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for i := range b.N {
				p.Apply(encoder.Publish{Publication: identifier.Publication(fmt.Sprint(i)), Base: p.Version(), Upserts: all[:1]})
				if _, err := p.Set(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes/change")
		})
	}
}
