import { Encoder } from 'cbor-x';

/** CBOR codec of the links. Objects are encoded as plain maps, so that any CBOR library can decode them. */
export const codec = new Encoder({ useRecords: false, mapsAsObjects: true });
