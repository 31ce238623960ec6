package node

import (
	"math"
	"time"

	"flamingospar.org/gateway/engines"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

func encodeEstimates(reports []engines.EstimateReport) []*wirev1.EndpointEstimate {
	encoded := make([]*wirev1.EndpointEstimate, 0, len(reports))
	for _, report := range reports {
		encoded = append(encoded, &wirev1.EndpointEstimate{
			Endpoint: report.Endpoint, StartedUnixMillis: report.StartedMS, Service: report.Service, Quantity: report.Quantity,
			LogMean: float32(report.LogMean), Weight: float32(report.Weight), AgeMs: uint32(min(report.Age.Milliseconds(), math.MaxUint32)),
		})
	}
	return encoded
}

func decodeEstimates(encoded []*wirev1.EndpointEstimate) []engines.EstimateReport {
	reports := make([]engines.EstimateReport, 0, len(encoded))
	for _, item := range encoded {
		key := engines.EstimateKey{Quantity: item.GetQuantity(), Service: item.GetService(), Endpoint: item.GetEndpoint(), StartedMS: item.GetStartedUnixMillis()}
		reports = append(reports, engines.EstimateReport{
			EstimateKey: key, LogMean: float64(item.GetLogMean()), Weight: float64(item.GetWeight()), Age: time.Duration(item.GetAgeMs()) * time.Millisecond,
		})
	}
	return reports
}
