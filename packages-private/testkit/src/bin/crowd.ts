import { CrowdClient } from '../CrowdClient.js';
import type { CrowdOrder } from '../CrowdOrder.js';

process.once('message', (order: CrowdOrder) => {
  const clients = Array.from({ length: order.clients }, () => new CrowdClient(order));
  void Promise.all(clients.map((client) => client.run())).then(() => process.exit(0));
});
