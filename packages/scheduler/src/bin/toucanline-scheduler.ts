#!/usr/bin/env node
import { SchedulerCommand } from '../SchedulerCommand.js';

await SchedulerCommand.run();
