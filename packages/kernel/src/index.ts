/**
 * The daemon's core: timers, the plug-in kernel, and the interfaces and writers of logs, metrics and traces.
 *
 * @packageDocumentation
 */
export { delay, type Subscription, type TimerService } from './lib/timer/TimerService.js'
export { SystemTimerService } from './lib/timer/SystemTimerService.js'
export { FakeTimerService } from './lib/timer/FakeTimerService.js'
export { MemoryEventLog, type EventFields, type EventLog, type EventRecord } from './lib/observe/EventLog.js'
export { ConsolaEventLog } from './lib/observe/ConsolaEventLog.js'
export { JsonEventLog, type JsonEventLogOptions } from './lib/observe/JsonEventLog.js'
export { BoundedEventLog, type BoundedEventLogOptions } from './lib/observe/BoundedEventLog.js'
export { PrometheusMetrics } from './lib/observe/PrometheusMetrics.js'
export { NullMetrics, StatsdMetrics, type Metrics, type MetricTags } from './lib/observe/Metrics.js'
export { Tracing, type HopSpan, type TraceCarrier, type TracingOptions } from './lib/observe/Tracing.js'
export { LoopLagMonitor } from './lib/observe/LoopLagMonitor.js'
export { PluginCatalogue, type Plugin, type PluginDefinition } from './lib/plugin/Plugin.js'
export { Kernel, ServiceKey, type KernelOptions } from './lib/plugin/Kernel.js'
