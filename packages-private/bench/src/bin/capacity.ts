import { measureCapacity } from '../measureCapacity.js';

await measureCapacity(process.argv.slice(2));
