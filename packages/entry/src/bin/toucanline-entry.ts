#!/usr/bin/env node
import { EntryCommand } from '../EntryCommand.js';

await EntryCommand.run();
