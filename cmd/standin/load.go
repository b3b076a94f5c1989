package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/client"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// outcome is the result of a request.
type outcome struct {
	ID          identifier.Request `json:"id"`
	Idempotent  bool               `json:"idempotent"`
	Repeat      bool               `json:"repeat"`
	OK          bool               `json:"ok"`
	BodyMatches bool               `json:"whole"`
	Effect      refuser.Effect     `json:"effect,omitempty"`
	Code        refuser.Code       `json:"code,omitempty"`
	Took        time.Duration      `json:"took"`
}

type loadCommand struct {
	Service string        `arg:"" help:"Service to call."`
	Callers []string      `required:"" help:"Addresses at which entry hosts serve callers." sep:","`
	Rate    int           `help:"Requests per second." default:"200"`
	For     time.Duration `help:"How long to send requests." default:"5s"`
	Name    string        `help:"Prefix of the request IDs." default:"load"`
	Out     string        `required:"" help:"File to write the outcomes to."`
}

// repeatEvery is the number of requests of which one, not idempotent, is sent a second time with
// the same ID through another entry host.
const repeatEvery = 10

// Run sends requests at a fixed rate, whether or not earlier ones have ended, and writes their
// outcomes to a file.
func (c *loadCommand) Run(ctx context.Context) error {
	clients, err := c.newClients()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	var outcomes []outcome
	send := func(cl *client.Client, o outcome) {
		defer group.Done()
		o = sendRequest(cl, c.Service, o)
		mu.Lock()
		outcomes = append(outcomes, o)
		mu.Unlock()
	}
	ticker := time.NewTicker(time.Second / time.Duration(c.Rate))
	defer ticker.Stop()
	total := int(c.For.Seconds() * float64(c.Rate))
	for i := 0; i < total && ctx.Err() == nil; i++ {
		<-ticker.C
		o := outcome{ID: identifier.Request(fmt.Sprintf("%s-%d", c.Name, i)), Idempotent: i%2 == 0}
		group.Add(1)
		go send(clients[i%len(clients)], o)
		if i%repeatEvery == 1 {
			o.Repeat = true
			group.Add(1)
			go send(clients[(i+1)%len(clients)], o)
		}
	}
	group.Wait()
	data, err := json.Marshal(outcomes)
	if err != nil {
		return errors.Wrap(err, "encode outcomes")
	}
	printLoadSummary(c.Name, outcomes)
	return errors.Wrap(os.WriteFile(c.Out, data, 0o600), "write outcomes")
}

// newClients returns one client for each entry host, which tries that host first. Like a load
// balancer, it moves on to the next host if one cannot be reached.
func (c *loadCommand) newClients() ([]*client.Client, error) {
	var out []*client.Client
	for i := range c.Callers {
		order := append(append([]string(nil), c.Callers[i:]...), c.Callers[:i]...)
		cl, err := client.New(order)
		if err != nil {
			return nil, err
		}
		out = append(out, cl)
	}
	return out, nil
}

// sendRequest sends the request of o and returns o with the result filled in.
func sendRequest(cl *client.Client, service string, o outcome) outcome {
	start := time.Now()
	body := strings.Repeat("x", 64)
	a, err := cl.Request(context.Background(), client.Request{
		ID: o.ID, Service: identifier.Service(service), Idempotent: o.Idempotent, Body: []byte(body),
	})
	o.Took = time.Since(start)
	if err != nil {
		r := refuser.From(err)
		o.Effect, o.Code = r.Effect, r.Code
		return o
	}
	o.OK = true
	o.BodyMatches = string(a.Body) == string(o.ID)+":"+body
	return o
}

// printLoadSummary prints the number of requests, the latency percentiles of the answered ones and
// the number of refusals by code and effect.
func printLoadSummary(name string, outcomes []outcome) {
	var latencies []time.Duration
	codes := map[string]int{}
	for _, o := range outcomes {
		if o.OK {
			latencies = append(latencies, o.Took)
			continue
		}
		codes[fmt.Sprintf("%s/%s", o.Code, o.Effect)]++
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	percentile := func(fraction float64) time.Duration {
		if len(latencies) == 0 {
			return 0
		}
		return latencies[int(fraction*float64(len(latencies)-1))].Round(time.Microsecond * 10)
	}
	fmt.Printf("%-10s sent %5d  answered %5d  p50 %8s  p99 %8s  refused %v\n", name, len(outcomes), len(latencies), percentile(.5), percentile(.99), codes)
}
