package exchange

import (
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rattanway/rattanway/version/catalog"
)

// exchangeMetrics are the counters of an Exchange.
type exchangeMetrics struct {
	// tablesRequested, tablesSent and tablesAdopted count complete tables that this entry
	// instance requested from peers, sent to them and adopted from them. tableBytesSent
	// counts the bytes of the values and patches that were sent.
	tablesRequested, tablesSent, tableBytesSent, tablesAdopted gometrics.Counter
	// changesSent and changesDropped count messages with changes of a table, by peer:
	// those that were sent, and those that a full queue did not take.
	changesSent, changesDropped gometrics.Counter
	// connectionsEnded counts the connections that have ended, whichever side opened them.
	connectionsEnded gometrics.Counter
}

// newExchangeMetrics registers the counters in registry; nil discards them.
func newExchangeMetrics(registry gometrics.Registry) exchangeMetrics {
	if registry == nil {
		registry = gometrics.NewRegistry()
	}
	counter := func(name string) gometrics.Counter {
		return gometrics.GetOrRegisterCounter("exchange."+name, registry)
	}
	return exchangeMetrics{
		tablesRequested: counter("tables.requested"), tablesSent: counter("tables.sent"),
		tableBytesSent: counter("tables.sent.bytes"), tablesAdopted: counter("tables.adopted"),
		changesSent: counter("changes.sent"), changesDropped: counter("changes.dropped"),
		connectionsEnded: counter("connections.ended"),
	}
}

// countTableSent counts a table that was sent.
func (m *exchangeMetrics) countTableSent(c catalog.TableContent) {
	size := 0
	for _, r := range c.Rows {
		size += len(r.Value)
		for _, patch := range r.Patches {
			size += len(patch)
		}
	}
	m.tablesSent.Inc(1)
	m.tableBytesSent.Inc(int64(size))
}
