package measurer

import (
	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/picker"
	"sapphiredrum.example/sapphiredrum/scheduler"
)

// Variant is a policy to measure.
type Variant struct {
	Name string
	// Order names the order of the queues.
	Order string
	// Orderer replaces the order with that name unless nil.
	Orderer sapphiredrum.QueueOrder
	// Chooser returns the chooser of keepers in a zone.
	Chooser func(home sapphiredrum.ZoneName) sapphiredrum.TargetChooser
	// PerTarget gives every target its own cell and queue.
	PerTarget bool
	// Patience is Settings.Patience.
	Patience sapphiredrum.Millis
	// Split divides every rate evenly and for good between the hosts.
	Split bool
	// Direct sends calls to the engines at once, without permits.
	Direct bool
	// Moves moves prefixes where Costs.Moves says so.
	Moves bool
	// Keep drops a prefix after that much of a pause unless zero.
	Keep sapphiredrum.Millis
	// Loyal keepers go on asking a guard that is silent.
	Loyal bool
	// Wait and Queue replace the deployment's policy unless zero.
	Wait, Queue sapphiredrum.Millis
}

func random(sapphiredrum.ZoneName) sapphiredrum.TargetChooser      { return picker.Random{} }
func leastLoaded(sapphiredrum.ZoneName) sapphiredrum.TargetChooser { return picker.LeastLoaded{} }

// withCosts returns the shipped chooser with other costs.
func withCosts(costs picker.Costs) func(sapphiredrum.ZoneName) sapphiredrum.TargetChooser {
	return func(home sapphiredrum.ZoneName) sapphiredrum.TargetChooser {
		return picker.PrefixAffinity{Costs: costs, HomeZone: home}
	}
}

func prefix(home sapphiredrum.ZoneName) sapphiredrum.TargetChooser {
	return picker.PrefixAffinity{Costs: picker.DefaultCosts(), HomeZone: home}
}

// Shipped returns the policy that the system uses in the deployment.
func Shipped(d Deployment) Variant {
	return Variant{Name: "shipped (" + d.Policy.Order + ")", Order: d.Policy.Order, Chooser: prefix}
}

// Naive returns the baselines.
func Naive() []Variant {
	return []Variant{
		{Name: "random, fcfs", Order: scheduler.OrderFCFS, Chooser: random, PerTarget: true, Patience: -1},
		{Name: "least loaded, fcfs", Order: scheduler.OrderFCFS, Chooser: leastLoaded, PerTarget: true, Patience: -1},
		{Name: "least loaded, fcfs, split rates", Order: scheduler.OrderFCFS, Chooser: leastLoaded, PerTarget: true, Patience: -1, Split: true},
		{Name: "least loaded, no permits", Order: scheduler.OrderFCFS, Chooser: leastLoaded, PerTarget: true, Patience: -1, Direct: true},
	}
}

// Orders returns the shipped policy with each of the orders.
func Orders() []Variant {
	var variants []Variant
	for _, order := range []string{
		scheduler.OrderFCFS, scheduler.OrderLeastAttained, scheduler.OrderCacheAffinity, scheduler.OrderFairShare,
	} {
		variants = append(variants, Variant{Name: "cells, " + order, Order: order, Chooser: prefix})
	}
	return variants
}
