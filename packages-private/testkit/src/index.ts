/**
 * Fakes of the platform, a fault proxy, a monitor of task executions and a launcher of sites, for tests.
 *
 * @packageDocumentation
 */
export { Caller } from './Caller.js';
export { ChaosRun } from './ChaosRun.js';
export { createDocument } from './createDocument.js';
export { DaemonProcess } from './DaemonProcess.js';
export { exampleDocument } from './exampleDocument.js';
export { FaultProxy } from './FaultProxy.js';
export { findFreePort } from './findFreePort.js';
export { findProgram } from './findProgram.js';
export { HostListFake } from './HostListFake.js';
export { ExecutionMonitor } from './ExecutionMonitor.js';
export { SimulatedNetwork } from './SimulatedNetwork.js';
export { runCommandLine } from './runCommandLine.js';
export { runProgram } from './runProgram.js';
export { Site } from './Site.js';
export { sleep } from './sleep.js';
export { SteadyLoad } from './SteadyLoad.js';
export { StoreFake } from './StoreFake.js';
export { waitUntil } from './waitUntil.js';
export { WorkerFake } from './WorkerFake.js';
