// Package loadtester tests how the nodes of the fleet place requests under load: the systems of several nodes run over their tables in simulated
// time, without a network, in front of engines that follow their published figures. It models engines and arrivals only.
package loadtester
