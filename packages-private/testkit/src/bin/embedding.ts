import { runEmbeddingExample } from '../runEmbeddingExample.js';
import { StoreFake } from '../StoreFake.js';

const store = new StoreFake();
await store.start();
await runEmbeddingExample(store.url, (line) => process.stdout.write(`${line}\n`));
store.stop();
