import { ProcessRuntime } from '@toucanline/runtime';
import { expect } from 'chai';
import { EntryDaemon } from '../src/index.js';

describe('the OpenAPI document of the entry', () => {
  const runtime = new ProcessRuntime(
    {
      environment: 'test',
      process: 'entry',
      dataCentre: 'dc1',
      http: { host: '127.0.0.1', port: 0 },
      platform: { store: 'http://127.0.0.1:1', hosts: 'http://127.0.0.1:1' },
    },
    'entry',
  );
  const daemon = new EntryDaemon(runtime);
  const document = daemon.openApi as {
    readonly paths: Readonly<Record<string, Readonly<Record<string, object>>>>;
    readonly components: { readonly schemas: Readonly<Record<string, object>> };
  };

  after(() => runtime.close());

  it('describes exactly the routes that the entry serves', () => {
    const describedRoutes = Object.entries(document.paths).flatMap(([path, operations]) =>
      Object.keys(operations).map(
        (method) => `${method.toUpperCase()}${path.replace(/\{(\w+)\}/g, ':$1')}`,
      ),
    );
    expect(describedRoutes.sort()).to.deep.equal([...daemon.routes].sort());
  });

  it('contains every referenced schema', () => {
    const references = JSON.stringify(document).matchAll(/#\/components\/schemas\/(\w+)/g);
    const names = new Set([...references].map(([, name = '']) => name));
    expect(Object.keys(document.components.schemas)).to.include.members([...names]);
    expect(JSON.stringify(document)).not.to.include('#/$defs/');
  });
});
