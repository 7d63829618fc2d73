package policy

import "time"

// Limits, waits and ratios of the decisions.
const (
	// Scores and fills of cells, in percent; the silence of cells; the weight of servers that start or return.
	shedScorePercent  = 70.0            // a cell with a higher score sheds proxies one by one, with a higher fill at once
	moderatePercent   = 60.0            // limit for the score of a move's target; failures at a lower load are not due to overload
	evenFillPercent   = 50.0            // fill of a cell whose share of the demand equals its share of the capacity
	silentCellTimeout = 7 * time.Second // least time without an answered try after which a cell goes out of use
	entryWeightShare  = 0.25            // share of its weight that a server gets at its start, and the least that easing leaves
	entryWeightSteps  = 4               // equal steps from entryWeightShare to the whole weight

	// Loads in percent. With few cores queues grow long well above 80 percent, and answers stop coming near 100.
	idleLoadPercent      = 45.0 // below this load the capacity of a server cannot be estimated
	calmLoadPercent      = 72.0 // below this load proxies return home, levels rise and servers regain weight
	overloadPercent      = 80.0 // from this load on the fleet counts as overloaded, and levels fall
	fullLoadPercent      = 88.0 // load that cells may be filled to; failures at or above it are no sign of an unhealthy server
	hysteresisPercent    = 8.0  // distance between the limit for a change and the limit for undoing it
	loadDeviationPercent = 20.0 // distance from the mean load from which on the weight of a server is changed

	// Waits in multiples of the feedback lag (see feedbackLag), then shares and ratios.
	easingIntervalLags         = 2       // wait between easings of a server; ramp to the full weight after an unhealthy spell
	settlingLags               = 3       // wait for complete statistics, or for moves to a revived cell; most doublings of a spell
	retentionLags              = 10      // time that a disconnected proxy still counts, and that a server that is gone is kept
	deferrableBacklogShare     = 0.4     // share of the allowed backlog that deferrable orders may fill
	urgentBacklogShare         = 0.9     // share of the allowed backlog that urgent orders may fill
	deferrableDrainGraceShare  = 0.4     // share of the drain grace: deferrable orders wait if sending the backlog takes longer
	arrivalSmoothingShare      = 0.4     // weight of the newest statistics in the moving average of a proxy's work
	loadSmoothingTries         = 20.0    // number of tries that weigh as much as all earlier ones in a server's average load
	idleLatencyShare           = 0.15    // share of the target latency that an op takes on an idle server
	maxUnhealthyShare          = 1.0 / 3 // greatest share of a cell's ready servers that is withdrawn as unhealthy
	unhealthyMarginShare       = 0.25    // how much more of the tries must fail at an unhealthy server than at others
	fewTriesMargins            = 2       // margins added at minTries tries, as few failures mean little; fewer at more tries
	totalLossShare             = 0.9     // if more of its tries fail, withdrawing a server loses nothing
	fullAdmissionShare         = 0.95    // if more of the work is admitted, arrivals contain hardly any repeats of rejected ops
	overloadFailureShare       = 0.12    // if more of all tries fail, the fleet counts as overloaded
	youngWarmUpShare           = 0.25    // share of its warm-up for which a cold server gets no weight while many tries fail
	youngWarmUpShareIfAvoided  = 0.5     // the same in a mostly warm cell, where proxies avoid failing servers by themselves
	coldOverloadRatio          = 4.0     // a cold server fails under more than this many times the work that it can do
	smallCellServers           = 2.0     // a cell with less work than this many servers do counts as small
	mostlyWarmShare            = 2.0 / 3 // a cell with more than this share of its ready servers warm counts as mostly warm
	minTries                   = 4       // with fewer tries the share that fails is not significant
	minEasingRatio             = 0.6     // least factor that one easing applies to a weight; its reciprocal is the greatest
	capacityTargetShare        = 0.85    // share of the servers' capacity that is admitted; also the factor of one overload trim
	admissionGainPerLag        = 0.3     // greatest rise of the admitted share of the work in one feedback lag
	minLevelShare              = 0.05    // share of each op type that is always admitted
	fillRatioPerCrossZonePrice = 10.0    // how far above the even fill a cell may be filled, per unit of the cross-zone price
	homeRatioPerCrossZonePrice = 100.0   // cells of the own area weigh 1+(ratio*price)^2 times in the choice of a home cell
	epsilon                    = 1e-9    // least divisor, against division by zero
	minStandingTablesPerCell   = 2       // a cell has at least the servers of this many standing tables
	minProxiesPerCell          = 5       // least number of the fleet's proxies for each cell
	smallFleetStandingTables   = 4       // a fleet of at most the servers of this many standing tables counts as small
	cheapCrossZonePrice        = 0.02    // below this price two zones share an area, and with it their cells
)

// Labels of the timers in use.
const (
	reviewTimerLabel  uint32 = 1 // periodic review
	messageTimerLabel uint32 = 2 // review of orders that the limit on messages holds back
)
